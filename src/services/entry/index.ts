export * from './candidates.js';
export * from './entry.js';
export type * from './message.js';
export * from './event-id.js';
