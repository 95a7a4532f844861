export * from './catalogue.js';
export type * from './message.js';
export * from './plan.js';
export * from './writer.js';
