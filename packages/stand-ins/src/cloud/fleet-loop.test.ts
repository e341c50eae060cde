import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { after, before, describe, it } from 'node:test';

import { MemoryKeyValue } from '@skylarkreach/core/fakes';
import { FencingCheck } from '@skylarkreach/core/fleet';
import { InstanceBilling } from '@skylarkreach/core/ports';
import {
  Daemon,
  LogLevel,
  settingsSchema,
  SystemClock,
} from '@skylarkreach/daemon';

import { KeyValueServer } from '../key-value/index.js';
import { CloudServer } from './cloud-server.js';
import { MemoryCloud } from './memory-cloud.js';

const ANY_PORT = '127.0.0.1:0';
const OPERATOR_TOKEN = 'operator-token-example';
const DATA_CENTRES = ['north-1', 'north-2', 'north-3'];
const POLL_MS = 50;
const PLAN_TIMEOUT_MS = 20_000;

describe('the fleet loop of a daemon', () => {
  const clock = new SystemClock();
  const store = new MemoryKeyValue(clock);
  const prices = DATA_CENTRES.map(dataCentre => ({
    machineClass: 'standard',
    dataCentre,
    billing: InstanceBilling.Reclaimable,
    pricePerHour: 1,
  }));
  const cloud = new MemoryCloud(clock, 0, prices);
  const keyValueServer = new KeyValueServer(ANY_PORT, store);
  const cloudServer = new CloudServer(ANY_PORT, cloud);
  let daemons: Daemon[] = [];
  let operatorAddress = '';

  before(async () => {
    const keyValueAddress = await keyValueServer.listen();
    const cloudAddress = await cloudServer.listen();
    daemons = ['daemon-1', 'daemon-2'].map(
      id => new Daemon(createSettings(id, keyValueAddress, cloudAddress)),
    );
    const bound = await Promise.all(daemons.map(daemon => daemon.start()));
    operatorAddress = bound[0]?.operators ?? '';
  });

  after(async () => {
    await Promise.all(daemons.map(daemon => daemon.stop()));
    cloudServer.destroy();
    keyValueServer.destroy();
    store.close();
  });

  it('starts a single fleet from two daemons, spread over the data centres, and shows its plan in the state dump', async () => {
    const endAtMs = clock.nowMs() + PLAN_TIMEOUT_MS;
    let slots: readonly { instanceId?: string }[] = [];
    while (clock.nowMs() < endAtMs) {
      slots = await fetchPlannedSlots(operatorAddress);
      if (slots.some(slot => slot.instanceId !== undefined)) break;
      await clock.waitUntil(clock.nowMs() + POLL_MS);
    }
    const instances = cloud.currentInstances();
    const dataCentres = instances.map(instance => instance.dataCentre).sort();
    assert.deepEqual(dataCentres, DATA_CENTRES);
    assert.deepEqual(
      slots.map(slot => slot.instanceId).sort(),
      instances.map(instance => instance.id).sort(),
    );
  });
});

async function fetchPlannedSlots(
  address: string,
): Promise<readonly { instanceId?: string }[]> {
  const response = await fetch(`http://${address}/v1/dump`, {
    headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
  });
  const dump = (await response.json()) as {
    fleet: { plan: { slots: { instanceId?: string }[] } }[];
  };
  return dump.fleet[0]?.plan.slots ?? [];
}

function createSettings(
  daemonId: string,
  keyValueAddress: string,
  cloudAddress: string,
) {
  const sha256 = createHash('sha256').update(OPERATOR_TOKEN).digest('hex');
  return settingsSchema.parse({
    identity: { daemonId, dataCentre: 'north-1' },
    listen: { callers: ANY_PORT, operators: ANY_PORT, peers: ANY_PORT },
    platform: {
      keyValueAddress,
      cloudAddress,
      token: 'platform-token-example',
    },
    telemetry: { logLevel: LogLevel.Silent },
    credentials: {
      workspaces: [{ workspace: 'northside', sha256 }],
      operators: [{ name: 'operator', sha256 }],
      peerSecret: 'peer-secret-example',
    },
    fleet: [
      {
        name: 'ruling',
        group: 'ruling-model',
        classes: [{ name: 'standard', capacityTokensPerSecond: 100 }],
        dataCentres: DATA_CENTRES,
        promisedTokensPerSecond: 200,
        fencing: FencingCheck.Checked,
        storeBytesPerSecond: 1e9,
      },
    ],
  });
}
