export * from './member-table.js';
export * from './membership.js';
export type * from './message.js';
