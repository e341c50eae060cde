import { prepare, root } from './prepare.mjs';

prepare(2);
await import(`${root}/packages/measure/dist/main.js`);
