export * from './fleet.js';
export * from './loopback.js';
