export * from './disposable.js';
export * from './emitter.js';
export * from './prefix.js';
export * from './random.js';
export * from './rendezvous.js';
export * from './sorted-list.js';
export * from './timers.js';
