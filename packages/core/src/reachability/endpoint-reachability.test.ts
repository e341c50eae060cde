import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import {
  ManualClock,
  noopLog,
  noopMetrics,
  SeededRandom,
} from '../ports/index.js';
import { EndpointReachability } from './endpoint-reachability.js';

const GROUP = 'ledger';

/** Reachability of five endpoints in one group, of which those in `reached` accept connections. */
function createWorld() {
  const clock = new ManualClock(1_000);
  const addresses = ['e1', 'e2', 'e3', 'e4', 'e5'];
  const reached = new Set(addresses);
  const probed: string[] = [];
  const reachability = new EndpointReachability({
    nowMs: () => clock.nowMs(),
    random: new SeededRandom(1),
    log: noopLog,
    metrics: noopMetrics,
    endpoints: () => addresses.map(address => ({ address, group: GROUP })),
    probe: {
      acceptsConnections: ({ address }) => {
        probed.push(address);
        return Promise.resolve(reached.has(address));
      },
    },
  });
  const stepAfter = async (ms: number) => {
    await clock.advanceTo(clock.nowMs() + ms);
    await reachability.step();
    await new Promise(resolve => setImmediate(resolve));
  };
  return { clock, reachability, reached, probed, stepAfter };
}

describe('EndpointReachability', () => {
  it('finds all groups unreachable only where no endpoint accepts a connection', async () => {
    const { reachability, reached } = createWorld();
    assert.equal(await reachability.confirmAny(), true);
    reached.clear();
    assert.equal(await reachability.confirmAny(), false);
  });

  it('opens no connection while responses arrive', async () => {
    const { clock, probed, reachability, stepAfter } = createWorld();
    for (let count = 0; count < 20; count += 1) {
      reachability.of(GROUP).recordSent(clock.nowMs());
      await stepAfter(200);
      reachability.of(GROUP).recordHeard(clock.nowMs());
      await stepAfter(5_000);
    }
    assert.deepEqual(probed, []);
  });

  it('finds a group unreachable within a second of a request that hears nothing', async () => {
    const { clock, reachability, reached, stepAfter } = createWorld();
    let silences = 0;
    reachability.onSilence(GROUP, () => {
      silences += 1;
    });
    reached.clear();
    reachability.of(GROUP).recordSent(clock.nowMs());
    for (let step = 0; step < 5; step += 1) await stepAfter(200);
    assert.equal(reachability.isUnreachable(GROUP), true);
    assert.equal(silences, 1);
  });

  it('does not take endpoints that crashed, are slow or lose responses for unreachable ones', async () => {
    const { clock, reachability, reached, stepAfter } = createWorld();
    for (const id of ['e1', 'e2', 'e3', 'e4']) reached.delete(id);
    for (let step = 0; step < 50; step += 1) {
      const state = reachability.of(GROUP);
      state.recordSent(clock.nowMs());
      state.recordLostResponse();
      state.recordConnectFailure();
      await stepAfter(200);
      assert.equal(reachability.isUnreachable(GROUP), false);
    }
  });

  it('finds a group unreachable where new connections are refused and kept ones work, without calling them silent', async () => {
    const { clock, reachability, reached, stepAfter } = createWorld();
    let silences = 0;
    reachability.onSilence(GROUP, () => {
      silences += 1;
    });
    reached.clear();
    reachability.of(GROUP).recordConnectFailure();
    reachability.of(GROUP).recordHeard(clock.nowMs());
    await stepAfter(0);
    assert.equal(reachability.isUnreachable(GROUP), true);
    assert.equal(silences, 0);
  });

  it('finds a group reachable again within a second, and not by a single endpoint among others', async () => {
    const { reachability, reached, stepAfter } = createWorld();
    reached.clear();
    reachability.of(GROUP).recordConnectFailure();
    await stepAfter(0);
    reached.add('e1');
    for (let step = 0; step < 20; step += 1) await stepAfter(200);
    assert.equal(reachability.isUnreachable(GROUP), true);
    for (const id of ['e2', 'e3', 'e4', 'e5']) reached.add(id);
    for (let step = 0; step < 5; step += 1) await stepAfter(200);
    assert.equal(reachability.isUnreachable(GROUP), false);
  });

  it('opens at most four connections a second while a group is unreachable', async () => {
    const { probed, reachability, reached, stepAfter } = createWorld();
    reached.clear();
    reachability.of(GROUP).recordConnectFailure();
    await stepAfter(0);
    const before = probed.length;
    for (let step = 0; step < 50; step += 1) await stepAfter(200);
    assert.ok(probed.length - before <= 40, `${probed.length - before}`);
  });
});
