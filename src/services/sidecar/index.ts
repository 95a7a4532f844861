export type * from './message.js';
export * from './scheduler.js';
export * from './sidecar.js';
