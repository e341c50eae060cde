export * from './cluster-time.js';
export * from './daemon-hints.js';
export * from './duty-lease-news.js';
export * from './hint-store.js';
export * from './peer-load.js';
export * from './peer-reads.js';
