export * from './http-peer.js';
export * from './message-seal.js';
export * from './peer-server.js';
