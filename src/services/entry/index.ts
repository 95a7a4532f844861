export * from './candidates.js';
export * from './entry.js';
export type * from './message.js';
