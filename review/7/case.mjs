/* global performance */
// The machines that read the store for all are cut off from it, and a key is taken away meanwhile.
import { request as httpRequest } from 'node:http';
import { dirname } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import {
  HAS_TROUBLE,
  machineIp,
  play,
  smallConfiguration,
  waitUntil,
} from '../lib-2/deployment.mjs';
import { Link } from '../lib-2/link.mjs';

const MACHINES = 6;
/** `ConfigApplyMs` of the site. */
const CONFIG_APPLY_MS = 2_000;
/** Time for which machines are cut off from the store. */
const CUT_MS = 8_000;
const SETTLE_MS = 8_000;
const REQUEST_INTERVAL_MS = 100;
/** Time within which a watch of a reader is seen at the store. */
const WATCH_MS = 3_000;
const YOUNG_WATCH_MS = 800;

/** Sends a lookup as a client does, and resolves with its status. */
function lookUp(callers, requestId, key, path = '/lookup/1') {
  const [host, port] = callers.split(':');
  return new Promise(resolve => {
    const request = httpRequest(
      {
        host,
        port,
        path,
        agent: false,
        headers: {
          host: 'sample.example',
          'request-id': requestId,
          'deadline-ms': '1500',
          key,
        },
      },
      response => {
        response.resume();
        response.on('error', () => undefined);
        response.on('close', () => resolve(response.statusCode));
      },
    );
    request.on('error', error => resolve(String(error)));
    request.end();
  });
}

/** Starts the machines, each with a link of its own to the store, on which its watches are seen. */
async function startMachines(deployment) {
  const storePort = Number(deployment.storeAddress.split(':')[1]);
  const ips = [];
  for (let index = 0; index < MACHINES; index += 1) ips.push(await machineIp());
  const seeds = ips.slice(0, 3).map(ip => `${ip}:8229`);
  return Promise.all(
    ips.map(async (ip, index) => {
      const machine = {
        name: `edge-akl-a-${index + 1}`,
        watchedAtMs: -Infinity,
      };
      machine.link = new Link(storePort, chunk => {
        if (chunk.includes('/-/kv-watch?PathPrefix=op'))
          machine.watchedAtMs = performance.now();
      });
      const storeAddress = await machine.link.listen();
      const overrides = { ip, seeds, storeAddress };
      machine.daemon = await deployment.startDaemon(
        machine.name,
        'akl-a',
        overrides,
      );
      return machine;
    }),
  );
}

async function run(deployment, record) {
  const keys = ['key-of-hule930', 'second-key-of-hule930'];
  deployment.configure(smallConfiguration(3, { keys }));
  const runs = new Map();
  const onLine = line => {
    const requestId = /^runs \S+ \S+ (\S+)/.exec(line)?.[1];
    if (requestId !== undefined) runs.set(requestId, performance.now());
  };
  await deployment.startWorker({
    id: 'i-ledger-1',
    service: 'ledger-app',
    workMs: 5,
    onLine,
  });
  const machines = await startMachines(deployment);
  await delay(SETTLE_MS);
  // A change of the config is in force everywhere in time while nothing is disturbed.
  deployment.configure(
    smallConfiguration(7, {
      keys,
      routes: [
        {
          ...smallConfiguration(0).Routes[1],
          Name: 'added',
          PathPrefix: '/added/',
        },
      ],
    }),
  );
  for (const { daemon, name } of machines) {
    const isInForce = async () =>
      (await lookUp(
        daemon.machine.callers,
        `first-${name}-${Math.random()}`,
        keys[0],
        '/added/1',
      )) === 200;
    await waitUntil(isInForce, `the change is in force at ${name}`);
  }
  record.add('all machines: configuration 7 is in force');
  await delay(500);
  const nowMs = performance.now();
  const readers = machines.filter(
    ({ watchedAtMs }) => nowMs - watchedAtMs < WATCH_MS,
  );
  const names = readers.map(({ name }) => name);
  record.add(`store: waiting watches of ${names.join(', ')}`);
  if (readers.length > MACHINES * 0.35)
    throw new Error('More machines watch the store than may be cut off.');
  // A watch waits for 2.5 s; one that is about to end anyway would show less.
  await waitUntil(
    () =>
      readers.every(
        ({ watchedAtMs }) => performance.now() - watchedAtMs < YOUNG_WATCH_MS,
      ),
    'the watches have begun lately',
  );
  if (HAS_TROUBLE) {
    for (const { link, name } of readers) {
      link.cut();
      record.add(`machine ${name}: is cut off from the store`);
    }
    await delay(100);
  }
  deployment.configure(smallConfiguration(8, { keys: keys.slice(1) }));
  const ackAtMs = performance.now();
  record.add('store: acknowledges configuration 8, without the first key');
  const others = machines.filter(each => !readers.includes(each));
  const sent = [];
  for (let count = 1; performance.now() < ackAtMs + CUT_MS; count += 1) {
    for (const { daemon, name } of others) {
      const requestId = `lookup-${name}-${count}`;
      const sentAtMs = performance.now() - ackAtMs;
      sent.push(
        lookUp(daemon.machine.callers, requestId, keys[0]).then(status => {
          record.add(
            `client: ${requestId} with the first key, sent ${Math.round(sentAtMs)} ms after the ack, is answered ${status}`,
          );
          return { name, requestId, sentAtMs };
        }),
      );
    }
    await delay(REQUEST_INTERVAL_MS);
  }
  const all = await Promise.all(sent);
  for (const { link } of machines) link.heal();
  const late = all.filter(
    ({ requestId, sentAtMs }) =>
      sentAtMs > CONFIG_APPLY_MS && runs.has(requestId),
  );
  const lastMs = Math.max(0, ...late.map(({ sentAtMs }) => sentAtMs));
  for (const { link } of machines) link.destroy();
  return late.length === 0
    ? []
    : [
        `CONFIG: ${late.length} lookups with a key that was taken away ran though they were sent later than ${CONFIG_APPLY_MS} ms after the ack, the last one ${Math.round(lastMs)} ms after it, at ${new Set(late.map(({ name }) => name)).size} machines that were never disturbed.`,
      ];
}

await play(dirname(fileURLToPath(import.meta.url)), run);
