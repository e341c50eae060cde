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
import { OperatorStateReader } from './operator-state-reader.js';
import { OperatorWatch } from './operator-watch.js';
import { StatePoller } from './state-poller.js';

const TIMING = {
  intervalMs: 400,
  maxFollowedAgeMs: 1_200,
  patienceMs: 200,
  readTimeoutMs: 1_000,
};
/** Longest that a reader's own state is unconfirmed: the interval, its jitter and a step of the clock. */
const MAX_READER_AGE_MS = 700;
const STATE: OperatorState = {
  revision: 1,
  configuration: undefined,
  rollouts: [],
  evacuations: undefined,
  ended: [],
  malformed: 0,
};

/** Source whose watches wait until their deadline, and whose calls can fail or hang. */
class QuietSource implements OperatorSource {
  wholeReads = 0;
  changeReads = 0;
  watches = 0;
  isDown = false;
  isSilent = false;

  constructor(private readonly clock: ManualClock) {}

  readNow(deadlineAtMs: number): Promise<OperatorState> {
    this.wholeReads += 1;
    return this.answer(deadlineAtMs);
  }

  readChanges(_after: number, deadlineAtMs: number): Promise<OperatorState> {
    this.changeReads += 1;
    return this.answer(deadlineAtMs);
  }

  async watch(_after: number, untilMs: number): Promise<OperatorState> {
    this.watches += 1;
    if (this.isDown) throw new KeyValueUnavailableError('down');
    await this.clock.waitUntil(untilMs);
    return this.answer(untilMs + 500);
  }

  private async answer(deadlineAtMs: number): Promise<OperatorState> {
    if (this.isDown) throw new KeyValueUnavailableError('down');
    if (!this.isSilent) return STATE;
    await this.clock.waitUntil(deadlineAtMs);
    throw new KeyValueUnavailableError('no answer');
  }
}

/** Daemon that watches, and reads between its watches. */
class Harness {
  readonly clock = new ManualClock(0);
  readonly source = new QuietSource(this.clock);
  isReader = false;
  /** Whether the daemon also polls as a reader. */
  isFirstReader = true;
  peerReadAtMs = -Infinity;
  private readonly common = {
    clock: this.clock,
    random: new SeededRandom(1),
    log: noopLog,
    metrics: noopMetrics,
    monitor: new DependencyMonitor(
      'operators',
      LogComponent.Configuration,
      noopLog,
      noopMetrics,
    ),
    isReader: () => this.isReader,
  };
  private readonly reader = new OperatorStateReader({
    source: this.source,
    clock: this.clock,
    onState: () => undefined,
  });
  private readonly watch = new OperatorWatch({
    ...this.common,
    reader: this.reader,
  });
  readonly poller = new StatePoller({
    ...this.common,
    ...{ name: 'operators', part: LogComponent.Configuration, timing: TIMING },
    isReader: () => this.isReader && this.isFirstReader,
    read: (deadlineAtMs, fresh) => this.reader.read(deadlineAtMs, fresh),
    lastOtherReadAtMs: () => this.reader.confirmedAtMs(this.peerReadAtMs),
  });

  constructor() {
    void this.run(this.watch);
    void this.run(this.poller);
  }

  /** Age of what confirms the state. */
  get ageMs(): number {
    return this.clock.nowMs() - this.poller.lastReadAtMs();
  }

  private async run(part: OperatorWatch | StatePoller): Promise<void> {
    for (;;) {
      await part.step();
      await this.clock.waitUntil(part.nextAtMs(this.clock.nowMs()));
    }
  }

  /** Advances the clock in steps of 50 ms; `hears` tells whether news of a peer's reads arrives meanwhile. */
  async advanceTo(untilMs: number, hears = false): Promise<void> {
    for (let atMs = this.clock.nowMs(); atMs <= untilMs; atMs += 50) {
      await this.clock.advanceTo(atMs);
      if (hears) this.peerReadAtMs = atMs - 500;
    }
  }
}

describe('OperatorWatch', () => {
  it('reads the state once and then follows the readers', async () => {
    const harness = new Harness();
    await harness.advanceTo(20_000, true);
    const { changeReads, watches, wholeReads } = harness.source;
    assert.equal(wholeReads, 1);
    assert.ok(watches + changeReads <= 1);
  });

  it('reads by itself while it hears of no read, and says so', async () => {
    const harness = new Harness();
    await harness.advanceTo(5_000, true);
    const { changeReads } = harness.source;
    await harness.advanceTo(7_000);
    assert.ok(harness.source.changeReads > changeReads);
    assert.ok(harness.ageMs <= TIMING.maxFollowedAgeMs + TIMING.intervalMs);
  });

  it('always watches as a reader, and reads meanwhile', async () => {
    const harness = new Harness();
    harness.isReader = true;
    await harness.advanceTo(40_000);
    assert.ok(harness.source.watches >= 3);
    assert.ok(harness.ageMs <= MAX_READER_AGE_MS);
  });

  it('does not confirm a state that it cannot read', async () => {
    const harness = new Harness();
    harness.isReader = true;
    await harness.advanceTo(3_000);
    const readsBefore = harness.source.changeReads + harness.source.wholeReads;
    harness.source.isDown = true;
    await harness.advanceTo(10_000);
    assert.ok(harness.ageMs > 6_000);
    const { changeReads, wholeReads } = harness.source;
    assert.ok(changeReads + wholeReads - readsBefore > 5);
  });

  // A waiting watch counted as a read, so that peers kept a revoked key for 4 s.
  it('confirms nothing by a watch that waits on a dead connection', async () => {
    const harness = new Harness();
    harness.isReader = true;
    await harness.advanceTo(3_000);
    harness.source.isSilent = true;
    const ageMs = harness.ageMs;
    await harness.advanceTo(4_000);
    assert.ok(harness.ageMs >= ageMs + 1_000);
  });

  it('leaves it to the reads to find out when the store answers again', async () => {
    const harness = new Harness();
    harness.isReader = true;
    await harness.advanceTo(3_000);
    harness.source.isDown = true;
    await harness.advanceTo(20_000);
    const { watches } = harness.source;
    await harness.advanceTo(30_000);
    assert.equal(harness.source.watches, watches);
    harness.source.isDown = false;
    await harness.advanceTo(31_000);
    assert.equal(harness.source.watches, watches + 1);
  });

  // A reader that is not among the first ones hears of their reads, and would not read again.
  it('watches again after a failure while it hears of reads by peers', async () => {
    const harness = new Harness();
    harness.isReader = true;
    harness.isFirstReader = false;
    await harness.advanceTo(3_000, true);
    harness.source.isDown = true;
    await harness.advanceTo(20_000, true);
    const { watches } = harness.source;
    harness.source.isDown = false;
    await harness.advanceTo(22_000, true);
    assert.ok(harness.source.watches > watches);
  });

  it('needs no new connection for a watch to be sure of changes', async () => {
    const harness = new Harness();
    harness.isReader = true;
    await harness.advanceTo(3_000);
    harness.source.isSilent = true;
    await harness.advanceTo(3_400);
    harness.source.isSilent = false;
    await harness.advanceTo(5_000);
    assert.ok(harness.ageMs <= MAX_READER_AGE_MS);
  });
});
