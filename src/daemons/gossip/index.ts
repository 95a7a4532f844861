export * from './gossip.js';
export * from './peer-links.js';
