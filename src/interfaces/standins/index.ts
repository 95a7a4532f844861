export * from './engine-server.js';
export * from './http-server.js';
export * from './instance-list-server.js';
export * from './memory-table.js';
export * from './service-server.js';
export * from './table-server.js';
export * from './tcp-forwarder.js';
