export * from './server-orders.js';
export type * from './subject-observation.js';
export type {OrderCause} from './subject-scaling.js';
export type * from './lease-calls.js';
export * from './lease.js';
export * from './lease-record.js';
export type {
	ScaleSubject,
	ServerOrder,
	UsageReport,
} from '../../interfaces/ports/index.js';
export * from './clock-offset.js';
export * from './usage-counts.js';
export * from './usage-reports.js';
