import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';

import fc from 'fast-check';

import { MemoryKeyValue } from '../fakes/index.js';
import type { Clock } from '../ports/index.js';
import {
  AnswerLostError,
  KeyValueUnavailableError,
  ManualClock,
  NotSentError,
} from '../ports/index.js';
import type { ScalingOrder } from './duty-api.js';
import { ScalingOutcome } from './duty-api.js';
import { DutyCallTracker } from './duty-call-tracker.js';
import { DutyHolder } from './duty-holder.js';

const SEED = 20_261_204;
const LEASE_MS = 3_000;
const STEP_MS = 250;

/** Monotonic clock of one daemon, which stops while the daemon is paused. */
class PausableClock implements Clock {
  pausedMs = 0;
  isPaused = false;

  constructor(private readonly worldClock: ManualClock) {}

  nowMs(): number {
    return this.worldClock.nowMs() - this.pausedMs;
  }

  waitUntil(): Promise<void> {
    return Promise.resolve();
  }
}

/** Daemon that can be paused and disconnected from the key-value service. */
class Candidate {
  readonly clock: PausableClock;
  readonly holder: DutyHolder;
  isDisconnected = false;

  constructor(
    readonly id: string,
    worldClock: ManualClock,
    store: MemoryKeyValue,
    rank: number,
    isFirstStart = true,
  ) {
    this.clock = new PausableClock(worldClock);
    // The store measures leases by its own clock, which never stops.
    const toStoreMs = (atMs: number) => atMs + this.clock.pausedMs;
    const assertConnected = () => {
      if (this.isDisconnected)
        throw new KeyValueUnavailableError('disconnected');
    };
    const keyValue = Object.create(store, {
      acquireLease: {
        value: async (request: { expiresAtMs: number }) => {
          assertConnected();
          const lease = await store.acquireLease({
            ...(request as Parameters<MemoryKeyValue['acquireLease']>[0]),
            expiresAtMs: toStoreMs(request.expiresAtMs),
          });
          return lease && { ...lease, expiresAtMs: request.expiresAtMs };
        },
      },
      releaseLease: {
        value: async (lease: Parameters<MemoryKeyValue['releaseLease']>[0]) => {
          assertConnected();
          await store.releaseLease(lease);
        },
      },
    }) as MemoryKeyValue;
    this.holder = new DutyHolder(
      keyValue,
      this.clock,
      () => worldClock.nowMs(),
      { hasHolder: () => false, rank: () => rank },
      { daemonId: id, leaseMs: LEASE_MS, isFirstStart },
    );
  }
}

/** Time at which a daemon held a usable lease, and could have called the platform. */
interface HolderSample {
  readonly atMs: number;
  readonly id: string;
  readonly fencingNumber: number;
}

describe('DutyHolder', () => {
  it('keeps one holder at a time through pauses, disconnections and releases, with increasing fencing numbers and no return of an earlier holder within a lease', async () => {
    const fault = fc.record({
      daemon: fc.nat(2),
      kind: fc.constantFrom('pause', 'cut', 'release'),
      forSteps: fc.integer({ min: 1, max: 40 }),
      afterSteps: fc.nat(30),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(fault, { maxLength: 8 }), async faults => {
        assertOneHolder(await simulate(faults));
      }),
      { seed: SEED, numRuns: 40 },
    );
  });

  it('no longer holds the lease at once after a pause longer than the lease', async () => {
    const worldClock = new ManualClock(1_000_000);
    const candidate = new Candidate(
      'a',
      worldClock,
      new MemoryKeyValue(worldClock),
      0,
    );
    await candidate.holder.step();
    assert.ok(candidate.holder.currentToken() !== undefined);
    await worldClock.advanceTo(worldClock.nowMs() + 5_000);
    candidate.clock.pausedMs += 5_000;
    assert.equal(candidate.holder.currentToken(), undefined);
  });

  it('renews the lease before it expires, and keeps its fencing number', async () => {
    const worldClock = new ManualClock(1_000_000);
    const candidate = new Candidate(
      'a',
      worldClock,
      new MemoryKeyValue(worldClock),
      0,
    );
    await candidate.holder.step();
    const first = candidate.holder.currentToken()?.fencingNumber;
    for (let step = 0; step < 80; step += 1) {
      await worldClock.advanceTo(worldClock.nowMs() + STEP_MS);
      await candidate.holder.step();
      assert.equal(candidate.holder.currentToken()?.fencingNumber, first);
    }
  });

  it('waits for the cooldown after a restart, as it may have held the lease before', async () => {
    const worldClock = new ManualClock(1_000_000);
    const store = new MemoryKeyValue(worldClock);
    const candidate = new Candidate('a', worldClock, store, 0, false);
    await candidate.holder.step();
    assert.equal(candidate.holder.currentToken(), undefined);
    await worldClock.advanceTo(worldClock.nowMs() + LEASE_MS * 1.5);
    await candidate.holder.step();
    assert.ok(candidate.holder.currentToken() !== undefined);
  });
});

describe('DutyHolder with a call in progress when it is released', () => {
  const order: ScalingOrder = {
    group: 'engines',
    dataCentre: 'north-1',
    isReclaimable: true,
    count: 1,
  };
  let worldClock: ManualClock;
  let first: Candidate;
  let second: Candidate;
  let endCall: (error?: Error) => void;
  let released: Promise<void>;
  let mayWrite: (() => boolean) | undefined;

  beforeEach(async () => {
    worldClock = new ManualClock(1_000_000);
    const store = new MemoryKeyValue(worldClock);
    first = new Candidate('a', worldClock, store, 0);
    second = new Candidate('b', worldClock, store, 0);
    await first.holder.step();
    const answer = new Promise<ScalingOutcome>((resolve, reject) => {
      endCall = error => {
        if (error === undefined) resolve(ScalingOutcome.Accepted);
        else reject(error);
      };
    });
    const calls = new DutyCallTracker({
      clock: worldClock,
      lease: first.holder,
      leaseMs: LEASE_MS,
      api: {
        reportUsage: () => Promise.reject(new Error('not called')),
        orderEndpoints: (_order, terms) => {
          ({ mayWrite } = terms);
          return answer;
        },
      },
    });
    const token = first.holder.currentToken();
    assert.ok(token !== undefined);
    const terms = { token, deadlineAtMs: 0 };
    calls.orderEndpoints(order, terms).catch(() => undefined);
    assert.equal(mayWrite?.(), true);
    released = first.holder.release(() => calls.settle());
  });

  const takesOver = async () => {
    await second.holder.step();
    return second.holder.currentToken() !== undefined;
  };

  // An order of the earlier holder reached the platform after one of the next holder.
  it('keeps others from the lease until the call has ended, and makes no further one', async () => {
    assert.equal(first.holder.currentToken(), undefined);
    assert.equal(await takesOver(), false);
    endCall();
    await released;
    assert.equal(await takesOver(), true);
  });

  it('releases the lease where the call was not sent', async () => {
    endCall(new NotSentError('not sent'));
    await released;
    assert.equal(await takesOver(), true);
  });

  // An order whose connection was established late was written under a lease that the daemon had given up.
  it('no longer writes the call', () => {
    assert.equal(mayWrite?.(), false);
  });

  it('lets the lease expire where the answer to the call is lost', async () => {
    endCall(new AnswerLostError('lost'));
    await released;
    assert.equal(await takesOver(), false);
    await worldClock.advanceTo(worldClock.nowMs() + LEASE_MS);
    assert.equal(await takesOver(), true);
  });
});

interface FaultEvent {
  readonly daemon: number;
  readonly kind: string;
  readonly forSteps: number;
  readonly afterSteps: number;
}

async function simulate(
  faults: readonly FaultEvent[],
): Promise<readonly HolderSample[]> {
  const worldClock = new ManualClock(1_000_000);
  const store = new MemoryKeyValue(worldClock);
  const candidates = ['a', 'b', 'c'].map(
    (id, rank) => new Candidate(id, worldClock, store, rank),
  );
  const samples: HolderSample[] = [];
  const faultEnds = new Map<number, { step: number; kind: string }>();
  let nextIndex = 0;
  let nextStep = faults[0]?.afterSteps ?? Infinity;
  for (let step = 0; step < 240; step += 1) {
    while (step >= nextStep) {
      const fault = faults[nextIndex];
      const candidate = candidates[fault?.daemon ?? 0];
      if (fault === undefined || candidate === undefined) break;
      if (fault.kind === 'pause') candidate.clock.isPaused = true;
      if (fault.kind === 'cut') candidate.isDisconnected = true;
      if (fault.kind === 'release') {
        await candidate.holder
          .release(() => Promise.resolve(true))
          .catch(() => undefined);
      }
      const { forSteps, kind } = fault;
      faultEnds.set(fault.daemon, { step: step + forSteps, kind });
      nextIndex += 1;
      nextStep = step + 1 + (faults[nextIndex]?.afterSteps ?? Infinity);
    }
    await worldClock.advanceTo(worldClock.nowMs() + STEP_MS);
    for (const [index, candidate] of candidates.entries()) {
      const faultEnd = faultEnds.get(index);
      if (candidate.clock.isPaused) candidate.clock.pausedMs += STEP_MS;
      if (faultEnd !== undefined && step >= faultEnd.step) {
        candidate.clock.isPaused = false;
        candidate.isDisconnected = false;
        faultEnds.delete(index);
      }
      if (candidate.clock.isPaused) continue;
      await candidate.holder.step();
      const token = candidate.holder.currentToken();
      if (token === undefined) continue;
      const { fencingNumber } = token;
      samples.push({
        atMs: worldClock.nowMs(),
        id: candidate.id,
        fencingNumber,
      });
    }
  }
  return samples;
}

function assertOneHolder(samples: readonly HolderSample[]): void {
  const holderOf = new Map<number, string>();
  const lastHeldAtMs = new Map<string, number>();
  let previous: HolderSample | undefined;
  for (const sample of samples) {
    const holder = holderOf.get(sample.fencingNumber) ?? sample.id;
    assert.equal(holder, sample.id, 'two holders share one fencing number');
    holderOf.set(sample.fencingNumber, sample.id);
    assert.ok(sample.fencingNumber >= (previous?.fencingNumber ?? 0));
    if (previous !== undefined && previous.id !== sample.id) {
      const lastHeldMs = lastHeldAtMs.get(sample.id) ?? -Infinity;
      assert.ok(
        sample.atMs - lastHeldMs > LEASE_MS,
        'an earlier holder returned within a lease',
      );
    }
    lastHeldAtMs.set(sample.id, sample.atMs);
    previous = sample;
  }
}
