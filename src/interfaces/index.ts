export * from './messages/index.js';
export * from './ports/index.js';
export * from './records/index.js';
export * from './settings/index.js';
