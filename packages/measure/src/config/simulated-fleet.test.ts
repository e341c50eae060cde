import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { MemberState } from '@skylarkreach/core/membership';

import { SimulatedFleet } from './simulated-fleet.js';

const DAEMONS = 24;
const RULES = 'kind=* target=a deadline=1m # operations, all questions\n';

async function startFleet(seed: number): Promise<SimulatedFleet> {
  const fleet = new SimulatedFleet({ daemons: DAEMONS, dataCentres: 4, seed });
  await fleet.start(RULES);
  await fleet.advance(25_000);
  return fleet;
}

function countDeathsDecided(fleet: SimulatedFleet): number {
  return fleet.daemons.reduce(
    (sum, daemon) => sum + daemon.service.swim.deathsDecided,
    0,
  );
}

describe('SimulatedFleet', () => {
  it('declares no member dead while 10% of the messages are lost', async () => {
    const fleet = await startFleet(1);
    fleet.messageLossShare = 0.1;
    await fleet.advance(60_000);
    assert.equal(countDeathsDecided(fleet), 0);
    fleet.stop();
  });

  it('does not declare a daemon dead that is paused for two seconds', async () => {
    const fleet = await startFleet(2);
    const { identity } = fleet.pickDaemon();
    fleet.pausedAddresses.add(identity.peerAddress);
    await fleet.advance(2_000);
    fleet.pausedAddresses.clear();
    await fleet.advance(10_000);
    assert.equal(countDeathsDecided(fleet), 0);
    fleet.stop();
  });

  it('readmits a daemon whose pause exceeded the suspicion timeout', async () => {
    const fleet = await startFleet(3);
    const paused = fleet.pickDaemon();
    fleet.pausedAddresses.add(paused.identity.peerAddress);
    await fleet.advance(15_000);
    const others = fleet.daemons.filter(daemon => daemon !== paused);
    const observedStates = () =>
      new Set(
        others.map(daemon => daemon.service.swim.stateOf(paused.identity.id)),
      );
    assert.deepEqual(observedStates(), new Set([MemberState.Dead]));
    fleet.pausedAddresses.clear();
    await fleet.advance(60_000);
    assert.deepEqual(observedStates(), new Set([MemberState.Alive]));
    fleet.stop();
  });

  it('replaces a killed relay within two seconds', async () => {
    const fleet = await startFleet(4);
    const findRelays = () =>
      fleet.daemons.filter(
        daemon =>
          daemon.identity.dataCentre === 'dc-1' &&
          daemon.service.status().relay,
      );
    const [relay] = findRelays();
    assert.ok(relay);
    const before = findRelays().length;
    fleet.killDaemon(relay);
    assert.equal(findRelays().length, before - 1);
    await fleet.advance(2_000);
    assert.equal(findRelays().length, before);
    fleet.stop();
  });

  it('reports rules as not fresh while the key-value service is down', async () => {
    const fleet = await startFleet(5);
    const countFresh = () =>
      fleet.daemons.filter(daemon => daemon.service.status().rulesFresh).length;
    assert.equal(countFresh(), DAEMONS);
    fleet.isKeyValueDown = true;
    await fleet.advance(20_000);
    assert.equal(countFresh(), 0);
    fleet.isKeyValueDown = false;
    await fleet.advance(15_000);
    assert.equal(countFresh(), DAEMONS);
    fleet.stop();
  });
});
