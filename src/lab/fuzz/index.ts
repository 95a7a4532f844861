export * from './fuzzer.js';
export * from './plan.js';
export * from './simulation.js';
