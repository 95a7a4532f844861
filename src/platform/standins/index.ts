export * from './memory-table.js';
