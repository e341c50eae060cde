export * from './stand-in-server.js';
