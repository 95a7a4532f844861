export * from './entry-daemon.js';
export * from './completion.js';
