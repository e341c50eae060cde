export * from './forwarder-harness.js';
export * from './plain-protocol.js';
export * from './recording-crash-guard.js';
export * from './recording-sink.js';
export * from './samples.js';
export * from './scripted-relay.js';
export * from './scripted-upstream.js';
export * from './stream-samples.js';
