export * from './disposable.js';
export * from './emitter.js';
export * from './never.js';
export * from './random.js';
export * from './rendezvous.js';
