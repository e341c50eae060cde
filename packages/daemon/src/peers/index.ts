export * from './http-peer.js';
export * from './peer-server.js';
