/** Public library of cicadaswitch. */
export * from './base/index.js';
export * from './platform/index.js';
export * from './services/index.js';
