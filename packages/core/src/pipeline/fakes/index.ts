export * from './pipeline-fixture.js';
