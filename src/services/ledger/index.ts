export * from './intents.js';
export * from './ledger.js';
export * from './sweep.js';
export type * from './work.js';
