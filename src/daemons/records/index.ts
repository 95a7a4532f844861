export * from './write-records.js';
