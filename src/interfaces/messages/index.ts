export * from './attempt.js';
export * from './handshake.js';
export * from './members.js';
export * from './peer.js';
export * from './spread.js';
export * from './table-call.js';
export * from './offer-parameters.js';
