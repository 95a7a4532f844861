export * from './admin-server.js';
