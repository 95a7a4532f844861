export * from './limits.js';
export * from './settings.js';
