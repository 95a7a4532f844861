export * from './catalogue.js';
