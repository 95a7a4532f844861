export * from './fleet.js';
