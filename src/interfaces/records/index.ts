export * from './log.js';
export * from './record.js';
export * from './upgrade.js';
export * from './run-record.js';
