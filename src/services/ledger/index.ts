export * from './intents.js';
export * from './ledger.js';
export * from './sweep.js';
export * from './work.js';
