export type * from './message.js';
export * from './policy.js';
export * from './record-store.js';
export * from './spread.js';
export * from './staging.js';
