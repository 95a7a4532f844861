export * from './bench.js';
export * from './report.js';
