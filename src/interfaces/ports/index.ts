export type * from './duties.js';
export type * from './endpoint.js';
export * from './errors.js';
export type * from './http-format.js';
export type * from './routing.js';
export type * from './instance-list.js';
export type * from './table.js';
