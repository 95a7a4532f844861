export * from './sidecar-daemon.js';
