import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { MemoryKeyValue } from '../fakes/index.js';
import type { Clock } from '../ports/index.js';
import { KeyValueUnavailableError, ManualClock } from '../ports/index.js';
import { DutyHolder } from './duty-holder.js';

const SEED = 20_261_204;
const LEASE_MS = 3_000;
const STEP_MS = 250;

/** Clocks of one daemon: its steady clock stands still while it is paused. */
class PausableClock implements Clock {
  pausedMs = 0;
  isPaused = false;

  constructor(private readonly world: ManualClock) {}

  nowMs(): number {
    return this.world.nowMs() - this.pausedMs;
  }

  waitUntil(): Promise<void> {
    return Promise.resolve();
  }
}

/** One daemon that may be paused or cut off from the key-value service. */
class Candidate {
  readonly clock: PausableClock;
  readonly holder: DutyHolder;
  isCut = false;

  constructor(
    readonly id: string,
    world: ManualClock,
    store: MemoryKeyValue,
    rank: number,
    isFirstStart = true,
  ) {
    this.clock = new PausableClock(world);
    // The store counts leases by its own clock, which is never paused.
    const toWorldMs = (atMs: number) => atMs + this.clock.pausedMs;
    const check = () => {
      if (this.isCut) throw new KeyValueUnavailableError('cut off');
    };
    const keyValue = Object.create(store, {
      acquireLease: {
        value: async (request: { expiresAtMs: number }) => {
          check();
          const lease = await store.acquireLease({
            ...(request as Parameters<MemoryKeyValue['acquireLease']>[0]),
            expiresAtMs: toWorldMs(request.expiresAtMs),
          });
          return lease && { ...lease, expiresAtMs: request.expiresAtMs };
        },
      },
      releaseLease: {
        value: async (lease: Parameters<MemoryKeyValue['releaseLease']>[0]) => {
          check();
          await store.releaseLease(lease);
        },
      },
    }) as MemoryKeyValue;
    this.holder = new DutyHolder(
      keyValue,
      this.clock,
      () => world.nowMs(),
      { hasHolder: () => false, rank: () => rank },
      { daemonId: id, leaseMs: LEASE_MS, isFirstStart },
    );
  }
}

interface Act {
  readonly atMs: number;
  readonly id: string;
  readonly fencingNumber: number;
}

describe('DutyHolder', () => {
  it('keeps one holder at a time, with rising numbers and no A, B, A within a lease, over pauses, cuts and releases', async () => {
    const trouble = fc.record({
      daemon: fc.nat(2),
      kind: fc.constantFrom('pause', 'cut', 'release'),
      forSteps: fc.integer({ min: 1, max: 40 }),
      afterSteps: fc.nat(30),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(trouble, { maxLength: 8 }), async troubles => {
        checkActs(await play(troubles));
      }),
      { seed: SEED, numRuns: 40 },
    );
  });

  it('ends its right at once when it wakes from a pause longer than the lease', async () => {
    const world = new ManualClock(1_000_000);
    const candidate = new Candidate('a', world, new MemoryKeyValue(world), 0);
    await candidate.holder.step();
    assert.ok(candidate.holder.current() !== undefined);
    await world.advanceTo(world.nowMs() + 5_000);
    candidate.clock.pausedMs += 5_000;
    assert.equal(candidate.holder.current(), undefined);
  });

  it('renews before its lease ends, and keeps its number', async () => {
    const world = new ManualClock(1_000_000);
    const candidate = new Candidate('a', world, new MemoryKeyValue(world), 0);
    await candidate.holder.step();
    const first = candidate.holder.current()?.fencingNumber;
    for (let step = 0; step < 80; step += 1) {
      await world.advanceTo(world.nowMs() + STEP_MS);
      await candidate.holder.step();
      assert.equal(candidate.holder.current()?.fencingNumber, first);
    }
  });

  it('waits after a restart, in which it may have held the duties', async () => {
    const world = new ManualClock(1_000_000);
    const store = new MemoryKeyValue(world);
    const candidate = new Candidate('a', world, store, 0, false);
    await candidate.holder.step();
    assert.equal(candidate.holder.current(), undefined);
    await world.advanceTo(world.nowMs() + LEASE_MS * 1.5);
    await candidate.holder.step();
    assert.ok(candidate.holder.current() !== undefined);
  });
});

interface Trouble {
  readonly daemon: number;
  readonly kind: string;
  readonly forSteps: number;
  readonly afterSteps: number;
}

async function play(troubles: readonly Trouble[]): Promise<readonly Act[]> {
  const world = new ManualClock(1_000_000);
  const store = new MemoryKeyValue(world);
  const candidates = ['a', 'b', 'c'].map(
    (id, rank) => new Candidate(id, world, store, rank),
  );
  const acts: Act[] = [];
  const endsAt = new Map<number, { step: number; kind: string }>();
  let next = 0;
  let nextAt = troubles[0]?.afterSteps ?? Infinity;
  for (let step = 0; step < 240; step += 1) {
    while (step >= nextAt) {
      const trouble = troubles[next];
      const candidate = candidates[trouble?.daemon ?? 0];
      if (trouble === undefined || candidate === undefined) break;
      if (trouble.kind === 'pause') candidate.clock.isPaused = true;
      if (trouble.kind === 'cut') candidate.isCut = true;
      if (trouble.kind === 'release') {
        await candidate.holder.release().catch(() => undefined);
      }
      const { forSteps, kind } = trouble;
      endsAt.set(trouble.daemon, { step: step + forSteps, kind });
      next += 1;
      nextAt = step + 1 + (troubles[next]?.afterSteps ?? Infinity);
    }
    await world.advanceTo(world.nowMs() + STEP_MS);
    for (const [index, candidate] of candidates.entries()) {
      const end = endsAt.get(index);
      if (candidate.clock.isPaused) candidate.clock.pausedMs += STEP_MS;
      if (end !== undefined && step >= end.step) {
        candidate.clock.isPaused = false;
        candidate.isCut = false;
        endsAt.delete(index);
      }
      if (candidate.clock.isPaused) continue;
      await candidate.holder.step();
      const proof = candidate.holder.current();
      if (proof === undefined) continue;
      const { fencingNumber } = proof;
      acts.push({ atMs: world.nowMs(), id: candidate.id, fencingNumber });
    }
  }
  return acts;
}

function checkActs(acts: readonly Act[]): void {
  const holderOf = new Map<number, string>();
  const lastActMs = new Map<string, number>();
  let previous: Act | undefined;
  for (const act of acts) {
    const holder = holderOf.get(act.fencingNumber) ?? act.id;
    assert.equal(holder, act.id, 'one number belongs to one holder');
    holderOf.set(act.fencingNumber, act.id);
    assert.ok(act.fencingNumber >= (previous?.fencingNumber ?? 0));
    if (previous !== undefined && previous.id !== act.id) {
      const before = lastActMs.get(act.id) ?? -Infinity;
      assert.ok(act.atMs - before > LEASE_MS, 'A, B, A within a lease');
    }
    lastActMs.set(act.id, act.atMs);
    previous = act;
  }
}
