export * from './admin/index.js';
export * from './entry/index.js';
export * from './link/index.js';
export * from './sidecar/index.js';
export type {DaemonOptions} from './daemon-core.js';
export * from './gossip/index.js';
export * from './records/index.js';
