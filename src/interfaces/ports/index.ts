export type * from './engine.js';
export * from './errors.js';
export type * from './http-format.js';
export type * from './routing.js';
export type * from './stores.js';
export type * from './table.js';
