export * from './fuzzer.js';
export * from './plan.js';
export * from './world.js';
