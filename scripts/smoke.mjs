// Smoke test of the bundled program: checks that V8 accepts its code cache under the deployed flags, starts it with them
// against stand-ins of the platform, then checks requests, a reload of its settings on SIGHUP and a graceful stop on SIGTERM.
import assert from 'node:assert/strict';
import { spawn, spawnSync } from 'node:child_process';
import { mkdtempSync, readdirSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

import { deployedFlags } from './bundle/deployed-flags.mjs';
import { root } from './prepare.mjs';

const WAIT_TIMEOUT_MS = 20_000;
const PROGRAM = `${root}/target/skylarkreachd.mjs`;
const SCRIPT_FILE = readdirSync(`${root}/target`).find(name =>
  /^skylarkreachd-\w{8}\.js$/.test(name),
);
const CACHE_CHECK = `
  const { createScript } = await import('${root}/scripts/bundle/program-script.mjs');
  const script = createScript('${root}/target/${SCRIPT_FILE}');
  process.exitCode = script.cachedDataRejected === false ? 0 : 1;
`;
const standIns = await import(`${root}/platform/dist/stand-ins/index.js`);

/** Returns a port that is free at the time of the call. */
async function freePort() {
  const server = createServer();
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address();
  await new Promise(resolve => server.close(resolve));
  return port;
}

async function waitUntil(condition, description) {
  const deadlineAtMs = performance.now() + WAIT_TIMEOUT_MS;
  while (!(await condition())) {
    assert.ok(
      performance.now() < deadlineAtMs,
      `Timed out after ${WAIT_TIMEOUT_MS} ms waiting until ${description}.`,
    );
    await delay(50);
  }
}

const { status } = spawnSync(process.execPath, [
  ...deployedFlags(),
  '--input-type=module',
  '--eval',
  CACHE_CHECK,
]);
assert.equal(status, 0, 'V8 rejected the code cache of the program.');

const store = new standIns.StoreServer();
const cloud = new standIns.CloudServer();
const endpoint = new standIns.EndpointServer({ id: 'ledger-1' });
const storeAddress = await store.listen();
const cloudAddress = await cloud.listen();
store.configure(1);
store.register('ledger-1', 'ledger', await endpoint.listen());

const freeAddress = async () => `127.0.0.1:${await freePort()}`;
const listen = {
  callers: await freeAddress(),
  readiness: await freeAddress(),
  operators: await freeAddress(),
  peers: await freeAddress(),
  metrics: await freeAddress(),
};
const settings = {
  gateway: {
    identity: {
      daemonId: 'smoke-1',
      dataCentre: 'north-1',
      isFirstStart: true,
    },
    listen,
    platform: { storeAddress, cloudAddress },
    peerSecret: 'a secret of the smoke test',
  },
};
const settingsFolder = mkdtempSync(join(tmpdir(), 'skylarkreach-'));
const settingsFile = join(settingsFolder, 'settings.yaml');
// JSON is a subset of YAML.
writeFileSync(settingsFile, JSON.stringify(settings));

const program = spawn(
  process.execPath,
  [...deployedFlags(), PROGRAM, '--settings', settingsFile],
  { stdio: ['ignore', 'pipe', 'inherit'] },
);
let output = '';
program.stdout.on('data', chunk => {
  output += chunk.toString();
});
const exited = new Promise(resolve => program.once('exit', resolve));

async function sendLookup() {
  const response = await fetch(`http://${listen.callers}/lookups/a`, {
    headers: { 'request-id': 'smoke', key: standIns.SAMPLE_KEY },
  });
  return response.status;
}

try {
  await waitUntil(async () => {
    const response = fetch(`http://${listen.readiness}/ready`);
    return (await response.catch(() => undefined))?.status === 200;
  }, 'the program is ready');
  // fetch sets the Host header to the address, and no route matches it.
  assert.equal(await sendLookup(), 404);
  settings.gateway.bounds = { gracePeriodSeconds: 2 };
  writeFileSync(settingsFile, JSON.stringify(settings));
  program.kill('SIGHUP');
  await waitUntil(
    () => output.includes('The settings have changed.'),
    'the settings are reloaded',
  );
  assert.equal(await sendLookup(), 404);
  const metrics = await fetch(`http://${listen.metrics}/metrics`);
  assert.match(await metrics.text(), /outcome="unknownRoute"\} 2/);
  program.kill('SIGTERM');
  assert.equal(
    await Promise.race([
      exited,
      delay(WAIT_TIMEOUT_MS, 'late', { ref: false }),
    ]),
    0,
  );
  console.log(
    'The bundled program started, reloaded its settings and stopped.',
  );
} finally {
  program.kill('SIGKILL');
  store.destroy();
  cloud.destroy();
  endpoint.destroy();
  rmSync(settingsFolder, { recursive: true });
}
