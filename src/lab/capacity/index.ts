export * from './page.js';
export * from './plot.js';
export * from './report.js';
