export * from './check-configuration.js';
export type {Difference} from './difference.js';
export * from './differences.js';
export type * from './finding.js';
