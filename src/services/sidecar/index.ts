export type * from './message.js';
export * from './scheduler.js';
export * from './scheduler-policy.js';
export * from './sidecar.js';
export type * from './ticket.js';
