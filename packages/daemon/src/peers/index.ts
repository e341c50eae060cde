export * from './http-peer.js';
export * from './message-signature.js';
export * from './peer-server.js';
