export * from './claim.js';
export * from './command-gate.js';
export * from './lease.js';
export * from './lifecycle.js';
export type * from './message.js';
export * from './occurrence.js';
export * from './removal.js';
