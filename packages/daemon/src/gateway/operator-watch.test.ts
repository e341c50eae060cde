import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type {
  OperatorSource,
  OperatorState,
} from '@skylarkreach/core/forwarding';
import {
  KeyValueUnavailableError,
  LogComponent,
  ManualClock,
  noopLog,
  noopMetrics,
  SeededRandom,
} from '@skylarkreach/core/ports';

import { DependencyMonitor } from './dependency-monitor.js';
import { OperatorWatch } from './operator-watch.js';

const MAX_FOLLOWED_AGE_MS = 1_400;
const STATE: OperatorState = {
  revision: 1,
  configuration: undefined,
  rollouts: [],
  evacuations: undefined,
  ended: [],
  malformed: 0,
};

/** Source whose watches wait until their deadline. */
class QuietSource implements OperatorSource {
  reads = 0;
  watches = 0;
  isDown = false;

  constructor(private readonly clock: ManualClock) {}

  readNow(): Promise<OperatorState> {
    this.reads += 1;
    return this.isDown ? rejected() : Promise.resolve(STATE);
  }

  async watch(_after: number, deadlineAtMs: number): Promise<OperatorState> {
    this.watches += 1;
    if (this.isDown) return rejected();
    await this.clock.waitUntil(deadlineAtMs);
    return STATE;
  }
}

function rejected(): Promise<never> {
  return Promise.reject(new KeyValueUnavailableError('down'));
}

class Harness {
  readonly clock = new ManualClock(0);
  readonly source = new QuietSource(this.clock);
  isReader = false;
  peerReadAtMs = -Infinity;
  readonly watch = new OperatorWatch({
    source: this.source,
    clock: this.clock,
    random: new SeededRandom(1),
    monitor: new DependencyMonitor(
      'operators',
      LogComponent.Configuration,
      noopLog,
      noopMetrics,
    ),
    isReader: () => this.isReader,
    lastPeerReadAtMs: () => this.peerReadAtMs,
    maxFollowedAgeMs: MAX_FOLLOWED_AGE_MS,
    onState: () => undefined,
  });

  constructor() {
    void this.run();
  }

  private async run(): Promise<void> {
    for (;;) {
      await this.watch.step();
      await this.clock.waitUntil(this.watch.nextAtMs(this.clock.nowMs()));
    }
  }

  /** Advances the clock in steps of 100 ms; `hears` tells whether news of a working watch arrives meanwhile. */
  async advanceTo(untilMs: number, hears = false): Promise<void> {
    for (let atMs = this.clock.nowMs(); atMs <= untilMs; atMs += 100) {
      await this.clock.advanceTo(atMs);
      if (hears) this.peerReadAtMs = atMs - 500;
    }
  }
}

describe('OperatorWatch', () => {
  it('reads the state once and then follows the readers', async () => {
    const harness = new Harness();
    await harness.advanceTo(20_000, true);
    assert.equal(harness.source.reads, 1);
    assert.ok(harness.source.watches <= 1);
  });

  it('watches by itself while it hears of no working watch, and says so', async () => {
    const harness = new Harness();
    await harness.advanceTo(5_000, true);
    const { watches } = harness.source;
    await harness.advanceTo(5_000 + MAX_FOLLOWED_AGE_MS + 200);
    assert.equal(harness.source.watches, watches + 1);
    assert.equal(harness.watch.confirmedAtMs(), harness.clock.nowMs());
  });

  it('always watches as a reader', async () => {
    const harness = new Harness();
    harness.isReader = true;
    await harness.advanceTo(10_000, true);
    assert.ok(harness.source.watches >= 3);
  });

  it('does not confirm a state that it cannot read', async () => {
    const harness = new Harness();
    harness.isReader = true;
    await harness.advanceTo(3_000);
    harness.source.isDown = true;
    await harness.advanceTo(10_000);
    assert.ok(harness.watch.confirmedAtMs() < 6_000);
    assert.ok(harness.source.reads > 5);
  });
});
