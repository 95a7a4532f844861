export * from './order-observations.js';
export * from './order-reports.js';
export * from './duty-daemon.js';
export type {OrderDecisions} from './scale-work.js';
