/* global URL, setTimeout */
// Four daemons in four zones, one of which holds the duties. Machines are stopped and
// started in turn, the holder first. In each round the SIGTERM reaches the holder while
// its renewal of the lease is on its way: a packet of the answer is lost on the link, so
// that the answer arrives 220 ms later (TCP sends again after 200 ms at the earliest).
// Without the trouble, the same rounds are played between two renewals, and no packet
// is lost.
import { setTimeout as delay } from 'node:timers/promises';

import { send } from '../lib/client.mjs';
import { createConfig, HOST, KEY, plainRoute } from '../lib/config.mjs';
import { HAS_TROUBLE, runCase } from '../lib/deployment.mjs';
import { Worker } from '../lib/worker.mjs';

const LEASE_KEY = 'skylarkreach/leases/duties';
const LEASE_MS = 3_000;
const WINDOW_MS = 5_000;
const LATE_MS = 220;
const PLAY_MS = 100_000;
const ZONES = ['akl-a', 'akl-b', 'ham-a', 'wlg-a'];

/** Time since the end of a usage window, in which a SIGTERM is sent. */
const FROM_MS = 0;
const TO_MS = 900;

/** Returns what breaks the rule among the calls that the platform got. */
function judge(calls) {
  const faults = [];
  const bySubject = new Map();
  for (const call of calls) {
    const subject =
      call.path === '/usage'
        ? 'usage'
        : `scaling ${call.body.Service} ${call.body.Zone}`;
    const earlier = bySubject.get(subject) ?? [];
    const highest = Math.max(0, ...earlier.map(({ number }) => number));
    if (call.number < highest) {
      faults.push(
        `${subject}: ${call.holder} with number ${call.number} after number ${highest}`,
      );
    }
    const own = earlier.findLast(({ holder }) => holder === call.holder);
    const last = earlier.at(-1);
    if (
      own !== undefined &&
      last.holder !== call.holder &&
      call.atMs - own.atMs < LEASE_MS
    ) {
      faults.push(
        `${subject}: ${call.holder}, ${last.holder}, ${call.holder} within ${Math.round(call.atMs - own.atMs)} ms`,
      );
    }
    bySubject.set(subject, [...earlier, call]);
  }
  return faults;
}

await runCase(new URL('record.txt', import.meta.url), async deployment => {
  const { cloud, store } = deployment;
  const config = createConfig(3, [
    plainRoute('lookups', 'ledger', 'idempotent'),
  ]);
  config.Services[0].Scaling = {
    MinSize: 1,
    MaxSize: 4,
    BootTimeS: 4,
    SpotPrice: 0.15,
    ZonePrices: Object.fromEntries(
      ZONES.map((zone, index) => [zone, 1 + index / 10]),
    ),
  };
  await deployment.start({
    zones: ZONES,
    config,
    workers: [new Worker('i-1', 'ledger'), new Worker('i-2', 'ledger')],
  });
  await deployment.whenReady();
  cloud.onCall = ({ body, holder, number, path }) => {
    deployment.record(
      `the platform gets ${path} ${body.WindowId ?? body.Zone} from ${holder}, number ${number}`,
    );
  };

  let isOver = false;
  const answers = [];
  const traffic = (async () => {
    for (let number = 1; !isOver; number += 1) {
      const daemon = deployment.daemons[number % deployment.daemons.length];
      const answer = send({
        address: daemon.address,
        host: HOST,
        path: '/lookups/a',
        id: `lookup-${number}`,
        deadlineMs: 1_500,
        key: KEY,
      });
      answers.push(answer);
      await delay(40);
    }
  })();

  const holder = () =>
    deployment.daemons.find(({ name }) => name === store.read(LEASE_KEY));
  const isTime = () => {
    const sinceWindowMs = Date.now() % WINDOW_MS;
    return sinceWindowMs >= FROM_MS && sinceWindowMs < TO_MS;
  };
  let stopping;
  const stop = daemon => {
    deployment.record(
      `${daemon.name} gets SIGTERM${HAS_TROUBLE ? ` while the answer to its renewal is on its way, ${LATE_MS} ms late` : ''}`,
    );
    stopping = daemon;
    daemon.signal('SIGTERM');
  };
  let isArmed = false;
  store.beforeAnswer = ({ pathname }, status, socket) => {
    const daemon = holder();
    const isRenewal =
      pathname === `/-/kv-keep/${store.items.get(LEASE_KEY)?.Lease}`;
    if (
      !isArmed ||
      !isRenewal ||
      status !== 200 ||
      daemon === undefined ||
      !isTime()
    )
      return;
    isArmed = false;
    if (HAS_TROUBLE) {
      deployment.storeLink.holdAnswers(socket.remotePort, LATE_MS);
      stop(daemon);
    } else {
      setTimeout(() => {
        stop(daemon);
      }, 700);
    }
  };

  await delay(6_000);
  const untilMs = Date.now() + PLAY_MS - 10_000;
  let faults = [];
  while (Date.now() < untilMs && faults.length === 0) {
    stopping = undefined;
    isArmed = true;
    while (stopping === undefined && Date.now() < untilMs) await delay(50);
    isArmed = false;
    if (stopping === undefined) break;
    await Promise.race([stopping.exited, delay(8_000)]);
    stopping.kill();
    await stopping.exited;
    stopping.end = undefined;
    stopping.start();
    deployment.record(`${stopping.name} is started again`);
    await deployment.whenReady([stopping]);
    faults = judge(cloud.calls);
  }
  isOver = true;
  await traffic;
  const statuses = (await Promise.all(answers)).map(({ status }) => status);
  const served = statuses.filter(status => status === 200).length;
  const runs = deployment.workers.reduce(
    (sum, worker) => sum + worker.runs.length,
    0,
  );
  deployment.record(
    `${statuses.length} lookups were sent, ${served} served, ${runs} run by workers`,
  );
  for (const fault of faults) deployment.record(`ONE is broken: ${fault}`);
  return faults.length > 0;
});
