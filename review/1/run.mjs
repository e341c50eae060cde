/* global URL */
// Three daemons in three zones follow the operator's configuration. The store is cut
// off from them for 0.85 s. Meanwhile the operator writes three versions, 0.33 s
// apart; the store acknowledges all of them. The last one adds a route, gives the
// tenant a new key and takes the old one away.
import { setTimeout as delay } from 'node:timers/promises';

import { send } from '../lib/client.mjs';
import { createConfig, HOST, KEY, plainRoute } from '../lib/config.mjs';
import { HAS_TROUBLE, runCase } from '../lib/deployment.mjs';
import { Worker } from '../lib/worker.mjs';

const NEW_KEY = 'new-key-of-the-practice';
const CUT_MS = 850;
const GAP_MS = 330;
/** ConfigApplyMs + MaxStretchMs + ContactMs of the site. */
const EXCUSED_MS = 2_000 + 5_000 + 3_000;

const route = name => plainRoute(name, 'ledger', 'idempotent');
const postings = plainRoute('postings', 'ledger', 'non_idempotent', {
  attempts: 1,
});

await runCase(new URL('record.txt', import.meta.url), async deployment => {
  const worker = new Worker('i-1', 'ledger');
  const routes = [route('lookups'), postings];
  await deployment.start({
    zones: ['akl-a', 'akl-b', 'ham-a'],
    config: createConfig(3, routes),
    workers: [worker],
  });
  await deployment.whenReady();
  await delay(6_000);

  if (HAS_TROUBLE) deployment.storeLink.cut();
  const healed = delay(CUT_MS).then(() => {
    deployment.storeLink.heal();
    deployment.record('the store can be reached again');
  });
  const versions = [
    createConfig(6, [...routes, route('added-1')]),
    createConfig(8, [...routes, route('added-1'), route('added-2')]),
    createConfig(
      11,
      [...routes, route('added-1'), route('added-2'), route('added-3')],
      { keys: [NEW_KEY] },
    ),
  ];
  await delay(20);
  for (const [index, version] of versions.entries()) {
    if (index > 0) await delay(GAP_MS);
    const revision = deployment.store.write('op/config', version);
    deployment.record(
      `the store acknowledges version ${version.Version} of the configuration, revision ${revision}`,
    );
  }
  await healed;
  await delay(EXCUSED_MS);

  const requests = [
    { path: '/lookups/a', key: NEW_KEY, isAllowed: true },
    { path: '/added-3/a', key: NEW_KEY, isAllowed: true },
    {
      path: '/postings/a',
      key: KEY,
      method: 'POST',
      body: 'a ruling',
      isAllowed: false,
    },
  ];
  let broken = 0;
  for (const { address, name } of deployment.daemons) {
    for (const { isAllowed, ...request } of requests) {
      const id = `${name}${request.path.replaceAll('/', '-')}-${request.key === KEY ? 'old' : 'new'}-key`;
      const answer = await send({
        address,
        host: HOST,
        deadlineMs: 1_500,
        id,
        ...request,
      });
      const hasRun = worker.runs.some(run => run.id === id);
      const isBroken = isAllowed
        ? [401, 403, 404].includes(answer.status)
        : hasRun;
      if (isBroken) broken += 1;
      deployment.record(
        `${id}: version 11 ${isAllowed ? 'allows' : 'forbids'} it; answered ${answer.status}, ${hasRun ? 'run by a worker' : 'not run'}${isBroken ? ' - CONFIG is broken' : ''}`,
      );
    }
  }
  return broken > 0;
});
