import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { prepare, root } from './prepare.mjs';

prepare(2);
setFlagsFromString('--expose-gc');
globalThis.gc = runInNewContext('gc');
await import(`${root}/packages/measure/dist/main.js`);
