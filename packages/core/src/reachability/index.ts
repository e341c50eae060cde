export * from './endpoint-reachability.js';
export * from './group-reachability.js';
export * from './observed-upstream.js';
export * from './relay-peers.js';
