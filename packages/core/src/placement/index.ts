export * from './least-work-placement.js';
export * from './load-reports.js';
export * from './miss-share.js';
export * from './output-estimates.js';
