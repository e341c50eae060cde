/* global performance */
// A duty call of the holder is on its way when the holder's machine is cut off from the platform. See claim.txt.
import { writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import process from 'node:process';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { BOUNDS, Daemons } from '../lib-3/daemons.mjs';
import { exchange } from '../lib-3/http.mjs';
import { Link } from '../lib-3/link.mjs';
import { Cloud, Fleet } from '../lib-3/platform.mjs';
import { Store } from '../lib-3/store.mjs';

const IS_TROUBLED = process.env.TROUBLE !== '0';
/** Loopback network of this run, so that runs side by side do not meet. */
const NET = `127.${64 + (process.pid % 128)}`;
const CUT_MS = 5_500;
const startedAtMs = performance.now();
const record = [];
const note = text =>
  record.push(
    `${((performance.now() - startedAtMs) / 1_000).toFixed(3)} ${text}`,
  );

const store = new Store();
const storeAddress = await store.listen(`${NET}.0.1`);
const cloud = new Cloud();
const cloudAddress = await cloud.listen(`${NET}.0.2`);
const zones = ['z-a', 'z-b'];
const fleet = new Fleet({
  store,
  host: `${NET}.2.1`,
  service: 'models',
  bootMs: 1_000,
  answer: () => ({ delayMs: 20, events: 5, gapMs: 20 }),
});
for (const zone of zones) await fleet.add(zone, false);
store.put('op/config', {
  Version: 3,
  Limits: {
    MaxHeaderBytes: 16_384,
    MaxBodyBytes: 65_536,
    HeaderTimeoutMs: 2_000,
    IdleTimeoutMs: 4_000,
  },
  Tenants: [
    {
      Name: 'ten-1',
      ApiKeys: ['key1'],
      RatePerS: 0,
      Burst: 0,
      PlainTokens: 200,
    },
  ],
  Services: [
    {
      Name: 'models',
      HealthPath: '/health',
      MaxConnections: 310,
      Engine: {
        Slots: 48,
        KvCapacityTokens: 444_000,
        KvTokenBytes: 131_072,
        LinkMbps: 180_000,
      },
      Scaling: {
        MinSize: 1,
        MaxSize: 6,
        BootTimeS: 1,
        SpotPrice: 0.15,
        ZonePrices: { 'z-a': 1, 'z-b': 0.8 },
      },
    },
  ],
  Routes: [
    {
      Name: 'drafts',
      Host: 'h.example',
      PathPrefix: '/d/',
      Type: 'streaming',
      TimeoutMs: 8_000,
      TargetLatencyMs: 800,
      TargetGapMs: 400,
      Priority: 0,
      Service: 'models',
      MaxAttempts: 2,
      StreamResume: true,
      Public: false,
    },
  ],
});

// Each machine has links of its own to the store and to the platform's API.
const links = new Map();
const daemons = new Map();
for (const n of [1, 2, 3]) {
  const toStore = new Link();
  const toCloud = new Link();
  const addresses = {
    storeAddress: await toStore.listen(`${NET}.3.${n}`, storeAddress),
    cloudAddress: await toCloud.listen(`${NET}.3.${n}`, cloudAddress),
  };
  links.set(`edge-${n}`, [toStore, toCloud]);
  daemons.set(n, new Daemons({ ...addresses, net: `${NET}.1`, zones }));
}

process.on('SIGTERM', () => {
  for (const daemon of daemons.values()) daemon.close();
  process.exit(2);
});

const healedAtMs = new Map();
const highest = new Map();
const broken = [];
cloud.onCall = call => {
  const { body, generation, holder, path } = call;
  const isUsage = path === '/usage';
  const subject = isUsage ? 'usage' : `scaling ${body.Service} ${body.Zone}`;
  note(
    `the platform gets ${subject} of ${holder}, generation ${generation}: ${JSON.stringify(body)}`,
  );
  if (!isUsage) void fleet.order(body);
  const seen = highest.get(subject) ?? 0;
  if (generation >= seen) {
    highest.set(subject, generation);
    return;
  }
  const sinceHealMs = call.atMs - (healedAtMs.get(holder) ?? -Infinity);
  const isExcused = sinceHealMs <= BOUNDS.ThawSlackMs;
  const text = `${subject}: generation ${generation} after ${seen}, ${Math.round(sinceHealMs)} ms after the link had healed`;
  note(isExcused ? `excused: ${text}` : `BROKEN ${text}`);
  if (!isExcused) broken.push(text);
};

let status = 2;
let isOver = false;
try {
  for (const [n, daemon] of daemons) daemon.start(n);
  for (const [n, daemon] of daemons)
    if (!(await daemon.ready(n))) throw new Error(`edge-${n} is not ready`);
  note('the daemons are ready');
  let sent = 0;
  let served = 0;
  const clients = (async () => {
    while (!isOver) {
      sent += 1;
      const id = `request-${sent}`;
      const bytes =
        `POST /d/${id} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: ${id}\r\nKey: key1\r\nDeadline-Ms: 8000\r\nModel: m\r\n` +
        `Token-Usage: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,${(0x91bd0000 + sent).toString(16)}:250\r\nContent-Length: 2\r\n\r\nhi`;
      void exchange({
        host: `${NET}.1.${1 + (sent % 3)}`,
        port: 8221,
        bytes,
        method: 'POST',
      }).then(result => {
        if (result.status === 200 && result.end === 'complete') served += 1;
        result.socket.destroy();
      });
      await delay(200);
    }
  })();

  // The holder sends each order again ten seconds after the last time. The cut begins shortly before.
  const REISSUE_MS = 10_000;
  const LEAD_MS = 400;
  const lastOrder = () =>
    cloud.calls.filter(each => each.path === '/scaling').at(-1);
  const untilMs = performance.now() + 60_000;
  let previous;
  let due;
  while (performance.now() < untilMs) {
    const orders = cloud.calls.filter(each => each.path === '/scaling');
    const oldest = new Map();
    for (const each of orders)
      oldest.set(`${each.body.Zone} ${each.body.Spot}`, each.atMs);
    due =
      oldest.size === 0
        ? undefined
        : Math.min(...oldest.values()) + REISSUE_MS - LEAD_MS;
    previous = lastOrder();
    if (
      due !== undefined &&
      performance.now() >= due &&
      performance.now() - startedAtMs > 20_000
    )
      break;
    await delay(10);
  }
  if (previous === undefined) throw new Error('no holder sent an order');
  const { generation, holder } = previous;
  const own = links.get(holder);
  if (IS_TROUBLED) {
    note(`${holder} is cut off from the platform for ${CUT_MS} ms`);
    for (const link of own) link.cut();
  }
  await delay(CUT_MS);
  if (IS_TROUBLED) {
    for (const link of own) link.heal();
    healedAtMs.set(holder, performance.now());
    note(`the links of ${holder} have healed`);
  }
  await delay(8_000);
  isOver = true;
  await clients;
  await delay(500);
  note(
    `${sent} requests were sent, ${served} served; ${fleet.count} workers were started`,
  );
  const exits = [...daemons.values()].flatMap(each => each.exits);
  for (const exit of exits)
    note(`a process has ended: ${JSON.stringify(exit)}`);
  const isTakenOver = cloud.calls.some(each => each.generation > generation);
  if (IS_TROUBLED && !isTakenOver) throw new Error('no other daemon took over');
  status = broken.length > 0 ? 1 : 0;
} catch (error) {
  note(`the case could not run: ${error.message}`);
} finally {
  isOver = true;
  note(
    status === 1 ? 'ONE was broken' : status === 0 ? 'ONE held' : 'no result',
  );
  for (const daemon of daemons.values()) daemon.close();
  for (const pair of links.values()) for (const link of pair) link.close();
  store.close();
  cloud.close();
  fleet.close();
  const file = join(dirname(fileURLToPath(import.meta.url)), 'record.txt');
  writeFileSync(file, `${record.join('\n')}\n`);
}
process.exit(status);
