/** Public library of cicadaswitch. */
export * from './base/index.js';
