// Starts the built program against stand-ins, and follows it through a request,
// a reload of its settings and a graceful stop.
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

import { root } from './prepare.mjs';

const LIMIT_MS = 20_000;
const stand = await import(`${root}/platform/dist/stand-ins/index.js`);

/** A port that is free now. */
async function freePort() {
  const server = createServer();
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address();
  await new Promise(resolve => server.close(resolve));
  return port;
}

async function until(condition, what) {
  const endsAtMs = performance.now() + LIMIT_MS;
  while (!(await condition())) {
    assert.ok(performance.now() < endsAtMs, `${what} within ${LIMIT_MS} ms`);
    await delay(50);
  }
}

const store = new stand.StoreServer();
const cloud = new stand.CloudServer();
const worker = new stand.EndpointServer({ id: 'ledger-1' });
const storeAddress = await store.listen();
const cloudAddress = await cloud.listen();
store.configure(1);
store.register('ledger-1', 'ledger', await worker.listen());

const address = async () => `127.0.0.1:${await freePort()}`;
const listen = {
  callers: await address(),
  readiness: await address(),
  operators: await address(),
  peers: await address(),
  metrics: await address(),
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
const folder = mkdtempSync(join(tmpdir(), 'skylarkreach-'));
const file = join(folder, 'settings.yaml');
// JSON is YAML too.
writeFileSync(file, JSON.stringify(settings));

const program = spawn(
  process.execPath,
  [`${root}/target/skylarkreachd.mjs`, '--settings', file],
  { stdio: ['ignore', 'pipe', 'inherit'] },
);
let output = '';
program.stdout.on('data', chunk => {
  output += chunk.toString();
});
const exited = new Promise(resolve => program.once('exit', resolve));

async function lookup() {
  const response = await fetch(`http://${listen.callers}/lookups/a`, {
    headers: { 'request-id': 'smoke', key: stand.SAMPLE_KEY },
  });
  return response.status;
}

try {
  await until(async () => {
    const answer = fetch(`http://${listen.readiness}/ready`);
    return (await answer.catch(() => undefined))?.status === 200;
  }, 'the program is ready');
  // Fetch sends the address as the host, for which there is no route.
  assert.equal(await lookup(), 404);
  settings.gateway.bounds = { gracePeriodSeconds: 2 };
  writeFileSync(file, JSON.stringify(settings));
  program.kill('SIGHUP');
  await until(
    () => output.includes('The settings have changed.'),
    'the settings are reloaded',
  );
  assert.equal(await lookup(), 404);
  const metrics = await fetch(`http://${listen.metrics}/metrics`);
  assert.match(await metrics.text(), /outcome="unknownRoute"\} 2/);
  program.kill('SIGTERM');
  assert.equal(
    await Promise.race([exited, delay(LIMIT_MS, 'late', { ref: false })]),
    0,
  );
  console.log('The built program starts, reloads and stops.');
} finally {
  program.kill('SIGKILL');
  store.destroy();
  cloud.destroy();
  worker.destroy();
  rmSync(folder, { recursive: true });
}
