export type * from './effect.js';
export * from './entry/index.js';
export * from './lifecycle/index.js';
export * from './membership/index.js';
export * from './records/index.js';
export * from './sidecar/index.js';
export * from './spread/index.js';
