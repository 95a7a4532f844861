export * from './settings.js';
export type {Limits} from './limits.js';
