export * from './record.js';
