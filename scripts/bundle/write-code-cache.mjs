// Writes the code cache of the program that is named as an argument, once it has compiled what it runs at the start: a
// gateway that finds no store.
import { rmSync, writeFileSync } from 'node:fs';
import { setTimeout as delay } from 'node:timers/promises';

import { createScript, evaluate, writeCodeCache } from './program-script.mjs';

const START_MS = 1_000;
const ANY_PORT = '127.0.0.1:0';
const UNUSED_PORT = '127.0.0.1:1';
const NO_SIGNAL = { hasCome: false, onSignal: () => undefined };

const [, , filename] = process.argv;
const settingsFile = `${filename}.${process.pid}.settings`;
const settings = {
  gateway: {
    identity: { daemonId: 'build', dataCentre: 'build' },
    listen: {
      callers: ANY_PORT,
      readiness: ANY_PORT,
      operators: ANY_PORT,
      peers: ANY_PORT,
      metrics: ANY_PORT,
    },
    platform: { storeAddress: UNUSED_PORT, cloudAddress: UNUSED_PORT },
    peerSecret: 'a secret of the build',
  },
};

writeFileSync(settingsFile, JSON.stringify(settings));
try {
  process.argv = [process.execPath, filename, '--settings', settingsFile];
  const script = createScript(filename);
  const program = await evaluate(script, filename);
  program.run({ stop: NO_SIGNAL, reload: NO_SIGNAL });
  await delay(START_MS);
  writeCodeCache(script, filename);
} finally {
  rmSync(settingsFile);
}
process.exit();
