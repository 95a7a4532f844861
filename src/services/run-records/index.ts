export * from './operations.js';
export * from './run-record-writer.js';
export * from './sweep.js';
export * from './operation.js';
