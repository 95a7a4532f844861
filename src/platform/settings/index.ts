export * from './settings.js';
export {limitsSection, type Limits} from './limits.js';
