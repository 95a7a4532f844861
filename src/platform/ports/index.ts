export * from './engine.js';
export * from './errors.js';
export * from './stores.js';
export * from './table.js';
