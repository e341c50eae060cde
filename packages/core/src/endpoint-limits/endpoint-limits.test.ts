import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import type { SimulatedDaemon } from '../fakes/index.js';
import {
  busiestWindow,
  Disturbance,
  SharingSimulation,
  SIMULATION_STEP_MS,
  warmEndpoint,
} from '../fakes/index.js';
import type { EndpointRecord } from '../forwarding/index.js';
import { KnownDaemons } from '../membership/index.js';
import { noopLog, noopMetrics, SeededRandom } from '../ports/index.js';
import type { EndpointLimitHint } from './endpoint-limit-hints.js';
import { EndpointLimits } from './endpoint-limits.js';

const SEED = 20_261_204;
/** Bound on the requests of daemons that were told of a limit, as the users state it. */
const CONTACT_MS = 3_000;
const TOLD_FOR_MS = 500;
const WINDOW_MS = 4_000;
const ALLOWED_SHARE = 1.5;
const ALLOWED_SLACK = 5;

/** Time from which the endpoint names its limit. */
const LIMITED_AT_MS = 2_000;
const END_MS = 50_000;

/** What happens to daemons in the test. */
const DISTURBANCES = [
  Disturbance.Join,
  Disturbance.Restart,
  Disturbance.CutOff,
  Disturbance.Heal,
];

/** Daemons that all prefer one endpoint. */
class LimitSimulation extends SharingSimulation<
  EndpointLimitHint[],
  EndpointLimits
> {
  /** Times of the requests of daemons that were told of the limit. */
  readonly toldRequestsAtMs: number[] = [];
  requests = 0;
  limitPerSecond: number | undefined;
  private readonly endpoint = limitedEndpoint();

  constructor(
    count: number,
    private readonly requestsPerSecond: number,
  ) {
    super(new SeededRandom(SEED));
    for (let added = 0; added < count; added += 1) this.join();
  }

  /** Returns the most requests of daemons that were told of the limit in a window of time that ends after `fromMs`. */
  busiestWindow(fromMs: number): number {
    return busiestWindow(this.toldRequestsAtMs, WINDOW_MS, fromMs);
  }

  /** Sends what the balancer gives the daemon: the first ones get several times what the last ones get. */
  protected override act(
    daemon: SimulatedDaemon<EndpointLimits>,
    index: number,
  ): void {
    const { guard } = daemon;
    const weight = 4 / (index + 1);
    const expected =
      (this.requestsPerSecond * weight * SIMULATION_STEP_MS) / 1_000;
    if (this.random.nextFloat() >= expected) return;
    if ((guard.waitMs(this.endpoint) ?? 0) > 0) return;
    guard.recordDispatch(this.endpoint);
    this.requests += 1;
    if (this.nowMs - daemon.toldAtMs >= TOLD_FOR_MS) {
      this.toldRequestsAtMs.push(this.nowMs);
    }
    guard.recordResponse(this.endpoint, this.limitPerSecond, this.nowMs - 1);
    if (this.limitPerSecond === undefined) return;
    daemon.toldAtMs = Math.min(daemon.toldAtMs, this.nowMs);
  }

  protected override createGuard(
    ownId: string,
    daemons: KnownDaemons,
  ): EndpointLimits {
    return new EndpointLimits({
      ownId,
      nowMs: () => this.nowMs,
      daemons,
      log: noopLog,
      metrics: noopMetrics,
    });
  }
}

function limitedEndpoint(bornAtMs = 1): EndpointRecord {
  return warmEndpoint('limited', { bornAtMs });
}

function allowedIn(limitPerSecond: number): number {
  return limitPerSecond * (WINDOW_MS / 1_000) * ALLOWED_SHARE + ALLOWED_SLACK;
}

describe('EndpointLimits', () => {
  it('keeps all daemons together below a limit, whichever join, restart and are cut off', () => {
    const disturbance = fc.record({
      atMs: fc.integer({ min: 0, max: END_MS }),
      kind: fc.constantFrom(...DISTURBANCES),
      daemon: fc.nat(63),
    });
    fc.assert(
      fc.property(
        fc.constantFrom(3, 9, 64),
        fc.constantFrom(0, 0.5, 1, 3, 20),
        fc.array(disturbance, { maxLength: 20 }),
        (count, limitPerSecond, disturbances) => {
          const simulation = new LimitSimulation(count, 10);
          while (simulation.nowMs < END_MS) {
            const { nowMs } = simulation;
            for (const planned of disturbances) {
              const isDue =
                planned.atMs > nowMs - SIMULATION_STEP_MS &&
                planned.atMs <= nowMs;
              if (isDue) simulation.disturb(planned.kind, planned.daemon);
            }
            if (nowMs === LIMITED_AT_MS)
              simulation.limitPerSecond = limitPerSecond;
            simulation.step();
          }
          const mostRequests = simulation.busiestWindow(
            LIMITED_AT_MS + CONTACT_MS,
          );
          assert.ok(mostRequests <= allowedIn(limitPerSecond));
        },
      ),
      { seed: SEED, numRuns: 60 },
    );
  });

  it('uses most of a limit where daemons get requests enough', () => {
    const simulation = new LimitSimulation(9, 40);
    simulation.limitPerSecond = 8;
    while (simulation.nowMs < LIMITED_AT_MS) simulation.step();
    const before = simulation.requests;
    while (simulation.nowMs < LIMITED_AT_MS + 10_000) simulation.step();
    assert.ok(simulation.requests - before >= 0.8 * 8 * 10);
  });

  it('forgets a limit that a response no longer names, at all daemons', () => {
    const simulation = new LimitSimulation(9, 10);
    simulation.limitPerSecond = 2;
    while (simulation.nowMs < LIMITED_AT_MS) simulation.step();
    simulation.limitPerSecond = undefined;
    while (simulation.nowMs < 2 * LIMITED_AT_MS + CONTACT_MS) simulation.step();
    const waits = simulation.daemons.map(each =>
      each.guard.waitMs(limitedEndpoint()),
    );
    assert.deepEqual([...new Set(waits)], [undefined]);
  });

  it('does not take a response that was written before the limit was named for its end', () => {
    const simulation = new LimitSimulation(1, 0);
    const [daemon] = simulation.daemons;
    assert.ok(daemon);
    const endpoint = limitedEndpoint();
    simulation.nowMs = 100;
    daemon.guard.recordResponse(endpoint, 1, 90);
    daemon.guard.recordResponse(endpoint, undefined, 95);
    assert.notEqual(daemon.guard.waitMs(endpoint), undefined);
    daemon.guard.recordResponse(endpoint, undefined, 101);
    assert.equal(daemon.guard.waitMs(endpoint), undefined);
  });

  it('knows no limit of an endpoint that started again under its id', () => {
    const simulation = new LimitSimulation(1, 0);
    const [daemon] = simulation.daemons;
    assert.ok(daemon);
    daemon.guard.recordResponse(limitedEndpoint(), 1, 0);
    const restarted = limitedEndpoint(2);
    assert.equal(daemon.guard.waitMs(restarted), undefined);
    daemon.guard.recordResponse(restarted, 3, 0);
    daemon.guard.applyPeer([
      { endpointId: 'limited', bornAtMs: 1, limitPerSecond: 1, ageMs: 0 },
    ]);
    assert.notEqual(daemon.guard.waitMs(restarted), undefined);
  });

  it('gives a daemon that knows of no other one no share before it has read the list of daemons', () => {
    let nowMs = 0;
    const daemons = new KnownDaemons({
      ownId: 'd0',
      nowMs: () => nowMs,
      livePeers: () => [],
    });
    assert.deepEqual(daemons.ids(), []);
    daemons.recordListed(['d0', 'd1']);
    nowMs = 60_000;
    assert.deepEqual([...daemons.ids()].sort(), ['d0', 'd1']);
  });

  it('tells rejected callers to return one after the other', () => {
    const simulation = new LimitSimulation(1, 0);
    const [daemon] = simulation.daemons;
    assert.ok(daemon);
    const endpoint = limitedEndpoint();
    daemon.guard.recordResponse(endpoint, 2, 0);
    const returns = [1, 2, 3].map(() =>
      daemon.guard.scheduleReturnMs([endpoint]),
    );
    assert.deepEqual(returns, [500, 1_000, 1_500]);
  });
});
