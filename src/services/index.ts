export * from './configuration-check/index.js';
export * from './duties/index.js';
export * from './entry/index.js';
export * from './gateway/index.js';
export * from './membership/index.js';
export * from './records/index.js';
export * from './sidecar/index.js';
export * from './spread/index.js';
export type * from './effect.js';
