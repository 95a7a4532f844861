export * from './connect.js';
export * from './link-server.js';
export * from './link.js';
export * from './peer-method.js';
