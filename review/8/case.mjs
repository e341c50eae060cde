/* global performance */
// All daemons are killed while a service moves to a version that turns out to be bad.
import { dirname } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import {
  HAS_TROUBLE,
  machineIp,
  play,
  smallConfiguration,
} from '../lib-2/deployment.mjs';
import { sendPostings } from '../lib-2/postings.mjs';

const ZONES = ['akl-a', 'akl-b', 'ham-a'];
const SERVICE = 'ledger-app';
/** Time limit of the move. */
const DURATION_S = 16;
const FAIL_SHARE = 0.5;
const REQUESTS_PER_S = 200;
const SETTLE_MS = 6_000;
/** Time from the order to the kill, and time for which the daemons are down. */
const KILLED_AFTER_MS = 1_000;
const DOWN_MS = 1_000;
/** `RollbackMs` of the site, and the number of bad answers from which it counts. */
const ROLLBACK_MS = 5_000;
const BAD_ANSWERS = 50;
/** `ContactMs` of the site. */
const CONTACT_MS = 3_000;

async function killAll(deployment, record, daemons) {
  await delay(KILLED_AFTER_MS);
  for (const { process: daemon } of daemons) daemon.kill('SIGKILL');
  record.add('all daemons: are killed');
  await delay(DOWN_MS);
  for (const daemon of daemons) deployment.restart(daemon);
  await Promise.all(daemons.map(each => deployment.whenReady(each)));
}

async function run(deployment, record) {
  deployment.configure(smallConfiguration(3));
  const runsOfNew = [];
  const badAnswersAtMs = [];
  const onLine = line => {
    const [verb, ...words] = line.split(' ');
    if (verb === 'runs')
      runsOfNew.push({ requestId: words[2], atMs: performance.now() });
    if (verb === 'fails') badAnswersAtMs.push(performance.now());
  };
  const worker = { service: SERVICE, workMs: 5, isQuiet: true };
  for (const [index, zone] of ZONES.entries())
    await deployment.startWorker({ ...worker, id: `i-old-${index}`, zone });
  const ips = [];
  while (ips.length < ZONES.length) ips.push(await machineIp());
  const seeds = ips.map(ip => `${ip}:8229`);
  const daemons = await Promise.all(
    ZONES.map((zone, index) =>
      deployment.startDaemon(`edge-${zone}-1`, zone, { ip: ips[index], seeds }),
    ),
  );
  await delay(SETTLE_MS);
  for (const [index, zone] of ZONES.entries())
    await deployment.startWorker({
      ...worker,
      id: `i-new-${index}`,
      zone,
      version: 'v2',
      failShare: FAIL_SHARE,
      onLine,
    });
  await delay(1_000);
  const orderedAtMs = performance.now();
  const untilMs = orderedAtMs + DURATION_S * 1_000;
  const statuses = new Map();
  const sending = sendPostings(daemons, REQUESTS_PER_S, untilMs, statuses);
  deployment.store.orderRollout(SERVICE, 'v2', DURATION_S);
  record.add(`operator: orders ${SERVICE} to v2 within ${DURATION_S} s`);
  if (HAS_TROUBLE) await killAll(deployment, record, daemons);
  const inTouchAtMs = performance.now() + (HAS_TROUBLE ? CONTACT_MS : 0);
  const sentAtMs = await sending;
  const since = atMs => ((atMs - orderedAtMs) / 1_000).toFixed(2);
  const bad50AtMs = badAnswersAtMs[BAD_ANSWERS - 1] ?? Infinity;
  record.add(
    `clients: ${sentAtMs.size} postings were answered ${JSON.stringify([...statuses])}`,
  );
  record.add(
    `workers of v2: ran ${runsOfNew.length} and failed ${badAnswersAtMs.length}; the ${BAD_ANSWERS}th failed ${since(bad50AtMs)} s after the order, the last ran ${since(runsOfNew.at(-1)?.atMs)} s after it`,
  );
  record.add(`store: the move is ${deployment.store.rolloutState(SERVICE)}`);
  const late = runsOfNew.filter(({ requestId }) => {
    const sentMs = sentAtMs.get(requestId) ?? 0;
    return sentMs > bad50AtMs + ROLLBACK_MS && sentMs > inTouchAtMs;
  });
  for (const { atMs, requestId } of late)
    record.add(`worker of v2: ran ${requestId} at ${since(atMs)} s`);
  return late.length === 0
    ? []
    : [
        `EXPOSURE: v2 got ${late.length} postings that were sent later than ${ROLLBACK_MS} ms after its ${BAD_ANSWERS}th bad answer.`,
      ];
}

await play(dirname(fileURLToPath(import.meta.url)), run);
