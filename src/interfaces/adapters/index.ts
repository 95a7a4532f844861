export * from './http-engine.js';
export * from './http-instance-list.js';
export * from './http-service.js';
export * from './http-table.js';
