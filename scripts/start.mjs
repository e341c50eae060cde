import { prepare, root } from './prepare.mjs';

prepare(2);
const settingsIndex = process.argv.indexOf('--settings');
const entry =
  settingsIndex === -1
    ? 'packages/stand-ins/dist/main.js'
    : 'packages/daemon/dist/main.js';
await import(`${root}/${entry}`);
