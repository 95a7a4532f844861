export * from './connect.js';
export * from './handshake.js';
export * from './link-server.js';
export * from './link.js';
export * from './peer-keys.js';
export * from './sidecar-messages.js';
