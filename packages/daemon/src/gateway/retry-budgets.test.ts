import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { RetryBudgets } from './retry-budgets.js';

const WINDOW_MS = 10_000;
const bounds = { repeatShare: 0.2, repeatSlack: 58, repeatWindowSeconds: 10 };

/** Daemons with a budget each, and when all of them made first attempts and retries. */
class Fleet {
  nowMs = 0;
  /** What the time of the cluster is ahead of this one. */
  clusterOffsetMs = 0;
  readonly firstAtMs: number[] = [];
  readonly retryAtMs: number[] = [];
  private readonly budgets: RetryBudgets[];

  constructor(private readonly size: number) {
    this.budgets = Array.from({ length: size }, (_, index) =>
      this.create(index, true),
    );
  }

  restart(index: number): void {
    this.budgets[index] = this.create(index, false);
  }

  request(index: number): void {
    this.budgets[index]?.forGroup('engines').recordFirstAttempt();
    this.firstAtMs.push(this.nowMs);
  }

  /** Makes retries until the daemon's budget is spent. */
  retry(index: number): void {
    const budget = this.budgets[index]?.forGroup('engines');
    while (budget?.tryAcquire() === true) this.retryAtMs.push(this.nowMs);
  }

  /** Throws if some window has more retries than all daemons together may make. */
  check(): void {
    for (const endMs of this.retryAtMs) {
      const countIn = (times: readonly number[], beforeMs: number) =>
        times.filter(
          each =>
            each <= endMs - beforeMs && each > endMs - beforeMs - WINDOW_MS,
        ).length;
      const requests = Math.max(
        ...[0, WINDOW_MS / 2, WINDOW_MS].map(beforeMs =>
          countIn(this.firstAtMs, beforeMs),
        ),
      );
      const retries = countIn(this.retryAtMs, 0);
      assert.ok(
        retries <= bounds.repeatShare * requests + bounds.repeatSlack,
        `${retries} retries for ${requests} requests of ${this.size} daemons`,
      );
    }
  }

  private create(rank: number, isFirstStart: boolean): RetryBudgets {
    const clock = { nowMs: () => this.nowMs };
    const fleet = {
      isFirstStart,
      daemonCount: () => this.size,
      rank: () => rank,
      clusterTimeMs: () => this.nowMs + this.clusterOffsetMs,
    };
    return new RetryBudgets(bounds, fleet, clock);
  }
}

const share = fc.double({ min: 0, max: 1, noNaN: true });
const twoShares = { minLength: 2, maxLength: 2 };

/** What happens at some of the daemons, or at all, after a pause. */
const steps = fc.array(
  fc.record({
    pauseMs: fc.oneof(
      ...[300, WINDOW_MS / 2, 3 * WINDOW_MS].map(max => fc.nat({ max })),
    ),
    range: fc.oneof(fc.constant<number[]>([0, 1]), fc.array(share, twoShares)),
    requests: fc.nat({ max: 12 }),
    isRetried: fc.boolean(),
    isRestarted: fc.boolean(),
  }),
  { maxLength: 30 },
);

function play(size: number, maxRestarts: number, each: readonly Step[]): void {
  const fleet = new Fleet(size);
  let restarts = 0;
  for (const { isRestarted, isRetried, pauseMs, range, requests } of each) {
    fleet.nowMs += pauseMs;
    const [from = 0, to = 0] = range.map(at => Math.floor(at * (size - 1)));
    for (
      let index = Math.min(from, to);
      index <= Math.max(from, to);
      index += 1
    ) {
      if (isRestarted && restarts < maxRestarts) {
        fleet.restart(index);
        restarts += 1;
      }
      for (let sent = 0; sent < requests; sent += 1) fleet.request(index);
      if (isRetried) fleet.retry(index);
    }
  }
  fleet.check();
}

type Step =
  typeof steps extends fc.Arbitrary<readonly (infer Item)[]> ? Item : never;

describe('the retry budgets of all daemons', () => {
  it('stay within their bound in each window, for 2 to 300 daemons, a quarter of which starts again', () => {
    fc.assert(
      fc.property(fc.integer({ min: 2, max: 300 }), steps, (size, each) => {
        play(size, Math.floor(size / 4), each);
      }),
      { seed: 7, numRuns: 60 },
    );
  });

  it('stay within their bound for 47 to 300 daemons that all start again at any time', () => {
    fc.assert(
      fc.property(fc.integer({ min: 47, max: 300 }), steps, (size, each) => {
        play(size, Infinity, each);
      }),
      { seed: 8, numRuns: 60 },
    );
  });

  it('stay within their bound for 2 to 46 daemons that all start again at any time', () => {
    fc.assert(
      fc.property(fc.integer({ min: 2, max: 46 }), steps, (size, each) => {
        play(size, Infinity, each);
      }),
      { seed: 9, numRuns: 60 },
    );
  });

  it('allow each of many daemons with few requests a retry in turn, within the slack', () => {
    for (const size of [47, 64, 300]) {
      const fleet = new Fleet(size);
      const retries = Array.from({ length: size }, () => 0);
      const untilMs = (size + 1) * 250;
      for (; fleet.nowMs < untilMs; fleet.nowMs += 100) {
        for (let index = 0; index < size; index += 1) {
          const before = fleet.retryAtMs.length;
          fleet.retry(index);
          retries[index] =
            (retries[index] ?? 0) + fleet.retryAtMs.length - before;
        }
      }
      assert.ok(Math.min(...retries) >= 1, `${size} daemons`);
      fleet.check();
    }
  });

  // A daemon whose clock was an hour ahead when it started had no turn until the hour had passed.
  it('allow a retry in turn after the time of the cluster was set back', () => {
    const fleet = new Fleet(64);
    fleet.clusterOffsetMs = 3_600_000;
    const countIn = (durationMs: number) => {
      const before = fleet.retryAtMs.length;
      const untilMs = fleet.nowMs + durationMs;
      for (; fleet.nowMs < untilMs; fleet.nowMs += 100) fleet.retry(0);
      return fleet.retryAtMs.length - before;
    };
    const perRoundMs = 65 * 250;
    assert.ok(countIn(perRoundMs) >= 1);
    fleet.clusterOffsetMs = 0;
    assert.ok(countIn(perRoundMs) >= 1);
    fleet.check();
  });

  it('stay within their bound where requests come before a window and at its end', () => {
    for (const requests of [5, 10]) {
      const all = { range: [0, 1], isRestarted: false, isRetried: true };
      play(300, 0, [
        { ...all, pauseMs: 0, requests, isRetried: false },
        { ...all, pauseMs: WINDOW_MS / 2 - 100, requests: 0 },
        { ...all, pauseMs: WINDOW_MS - 100, requests },
      ]);
    }
  });

  it('allow a retry for some requests of late, however many daemons there are', () => {
    for (const size of [2, 46, 47, 64, 300, 2_300]) {
      const fleet = new Fleet(size);
      fleet.retry(0);
      fleet.retryAtMs.length = 0;
      for (let sent = 0; sent < 10; sent += 1) fleet.request(0);
      fleet.retry(0);
      assert.ok(fleet.retryAtMs.length >= 1, `${size} daemons`);
    }
  });

  it('follow a change of the slack', () => {
    const changed = { ...bounds, repeatSlack: 0 };
    const fleet = {
      isFirstStart: true,
      daemonCount: () => 2,
      rank: () => 0,
      clusterTimeMs: () => 0,
    };
    const budgets = new RetryBudgets(changed, fleet, { nowMs: () => 0 });
    const budget = budgets.forGroup('engines');
    changed.repeatSlack = 58;
    for (let sent = 0; sent < 10; sent += 1) budget.recordFirstAttempt();
    assert.equal(budget.isAvailable, true);
    changed.repeatSlack = 0;
    assert.equal(budget.isAvailable, false);
  });

  it('do not keep retries for later in a large group', () => {
    const fleet = new Fleet(300);
    for (let sent = 0; sent < 100; sent += 1) fleet.request(0);
    fleet.nowMs += WINDOW_MS / 2;
    fleet.retry(0);
    assert.equal(fleet.retryAtMs.length, 0);
  });
});
