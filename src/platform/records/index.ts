export * from './log.js';
export * from './record.js';
export * from './run-record.js';
export * from './upgrade.js';
