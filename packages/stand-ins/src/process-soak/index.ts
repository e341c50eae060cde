export * from './bundle-program.js';
export * from './link-proxy.js';
export * from './process-soak.js';
export * from './soak-profile.js';
