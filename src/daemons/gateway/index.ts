export * from './gateway-daemon.js';
