export * from './experiment.js';
export type * from './statistics.js';
export * from './variants.js';
export * from './workloads.js';
export * from './experiment-report.js';
