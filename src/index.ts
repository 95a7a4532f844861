/** Public API of the cicadaswitch library. */
export * from './base/index.js';
export * from './interfaces/index.js';
export * from './services/index.js';
