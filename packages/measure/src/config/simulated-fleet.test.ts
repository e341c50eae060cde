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

function deathsDecided(fleet: SimulatedFleet): number {
  return fleet.daemons.reduce(
    (sum, each) => sum + each.service.swim.deathsDecided,
    0,
  );
}

describe('a fleet of daemons', () => {
  it('declares none of its members dead while a tenth of the messages is lost', async () => {
    const fleet = await startFleet(1);
    fleet.lossShare = 0.1;
    await fleet.advance(60_000);
    assert.equal(deathsDecided(fleet), 0);
    fleet.stop();
  });

  it('declares a daemon that is paused for two seconds not dead', async () => {
    const fleet = await startFleet(2);
    const { identity } = fleet.pick();
    fleet.paused.add(identity.peerAddress);
    await fleet.advance(2_000);
    fleet.paused.clear();
    await fleet.advance(10_000);
    assert.equal(deathsDecided(fleet), 0);
    fleet.stop();
  });

  it('takes back a daemon whose pause outlasted the suspicion', async () => {
    const fleet = await startFleet(3);
    const paused = fleet.pick();
    fleet.paused.add(paused.identity.peerAddress);
    await fleet.advance(15_000);
    const others = fleet.daemons.filter(each => each !== paused);
    const states = () =>
      new Set(
        others.map(each => each.service.swim.stateOf(paused.identity.id)),
      );
    assert.deepEqual(states(), new Set([MemberState.Dead]));
    fleet.paused.clear();
    await fleet.advance(60_000);
    assert.deepEqual(states(), new Set([MemberState.Alive]));
    fleet.stop();
  });

  it('replaces a relay that dies within two seconds', async () => {
    const fleet = await startFleet(4);
    const relays = () =>
      fleet.daemons.filter(
        each =>
          each.identity.dataCentre === 'dc-1' && each.service.status().relay,
      );
    const [relay] = relays();
    assert.ok(relay);
    const before = relays().length;
    fleet.kill(relay);
    assert.equal(relays().length, before - 1);
    await fleet.advance(2_000);
    assert.equal(relays().length, before);
    fleet.stop();
  });

  it('says that its rules are not fresh once the key-value service is down', async () => {
    const fleet = await startFleet(5);
    const fresh = () =>
      fleet.daemons.filter(each => each.service.status().rulesFresh).length;
    assert.equal(fresh(), DAEMONS);
    fleet.keyValueDown = true;
    await fleet.advance(20_000);
    assert.equal(fresh(), 0);
    fleet.keyValueDown = false;
    await fleet.advance(15_000);
    assert.equal(fresh(), DAEMONS);
    fleet.stop();
  });
});
