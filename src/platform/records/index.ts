export * from './record.js';
export * from './run-record.js';
