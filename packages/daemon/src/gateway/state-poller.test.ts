import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import {
  KeyValueUnavailableError,
  LogComponent,
  ManualClock,
  noopLog,
  noopMetrics,
  SeededRandom,
} from '@skylarkreach/core/ports';

import { DependencyMonitor } from './dependency-monitor.js';
import { StatePoller } from './state-poller.js';

const INTERVAL_MS = 1_200;
const MAX_FOLLOWED_AGE_MS = 1_800;
/** Longest that the jitter of a poll lets a list age beyond its interval. */
const MAX_JITTER_MS = 600;
const PATIENCE_MS = 700;
const READ_TIMEOUT_MS = 4_000;

/** Source whose reads take as long as `readMs` returns for each read, 0 for the first. */
class SlowSource {
  /** Whether each read was asked to use a new connection, in order. */
  readonly freshConnections: boolean[] = [];
  /** Start time of each read. */
  readonly readAtMs: number[] = [];

  constructor(
    private readonly clock: ManualClock,
    private readonly readMs: (readIndex: number) => number,
  ) {}

  async read(deadlineAtMs: number, freshConnection: boolean): Promise<void> {
    const nowMs = this.clock.nowMs();
    const endAtMs = nowMs + this.readMs(this.freshConnections.length);
    this.freshConnections.push(freshConnection);
    this.readAtMs.push(nowMs);
    await this.clock.waitUntil(Math.min(endAtMs, deadlineAtMs));
    if (endAtMs > deadlineAtMs) throw new KeyValueUnavailableError('too late');
  }
}

/** Runs the poller as its loop does; returns the ages of its state, observed every 100 ms after the first second. */
async function observeAges(
  readMs: (readIndex: number) => number,
  untilMs: number,
  /** Returns when a reader was last known to have read the list; without it this daemon is the reader. */
  peers?: (nowMs: number) => number,
): Promise<{ agesMs: number[]; source: SlowSource; stepCount: number }> {
  const clock = new ManualClock(0);
  const source = new SlowSource(clock, readMs);
  const poller = new StatePoller({
    name: 'endpoints',
    part: LogComponent.Routing,
    clock,
    random: new SeededRandom(1),
    log: noopLog,
    metrics: noopMetrics,
    monitor: new DependencyMonitor(
      'endpoints',
      LogComponent.Routing,
      noopLog,
      noopMetrics,
    ),
    timing: {
      intervalMs: INTERVAL_MS,
      maxFollowedAgeMs: MAX_FOLLOWED_AGE_MS,
      patienceMs: PATIENCE_MS,
      readTimeoutMs: READ_TIMEOUT_MS,
    },
    read: (deadlineAtMs, freshConnection) =>
      source.read(deadlineAtMs, freshConnection),
    isReader: () => peers === undefined,
    lastOtherReadAtMs: () => peers?.(clock.nowMs()) ?? -Infinity,
  });
  const stop = new AbortController();
  let stepCount = 0;
  const run = async () => {
    while (!stop.signal.aborted) {
      stepCount += 1;
      await poller.step();
      await clock.waitUntil(poller.nextAtMs(clock.nowMs()));
    }
  };
  void run();
  const agesMs: number[] = [];
  for (let atMs = 100; atMs <= untilMs; atMs += 100) {
    await clock.advanceTo(atMs);
    if (atMs > 1_000) agesMs.push(atMs - poller.lastReadAtMs());
  }
  stop.abort();
  return { agesMs, source, stepCount };
}

describe('StatePoller', () => {
  it('reads the state over a path that is slower than its patience', async () => {
    const { agesMs } = await observeAges(() => 1_500, 10_000);
    // A read takes 1.5 s, and the next one succeeds at most an interval, its jitter and a read later.
    const limitMs = 1_500 + INTERVAL_MS * 1.5 + 1_500;
    assert.ok(agesMs.slice(10).every(ageMs => ageMs <= limitMs));
  });

  it('does not wait for a read that hangs before it reads on a new connection', async () => {
    const { agesMs, source } = await observeAges(
      index => (index === 0 ? Infinity : 10),
      3_000,
    );
    assert.ok(agesMs.slice(2).every(ageMs => ageMs <= INTERVAL_MS * 2));
    assert.deepEqual(source.freshConnections.slice(0, 2), [false, true]);
    // The second read has to end within the bound too.
    assert.equal(source.readAtMs[1], PATIENCE_MS + 1);
  });

  // It checked each millisecond until the read was abandoned.
  it('waits for its next read where a peer has read while its own hangs', async () => {
    const readFromMs = 500; // before the patience is over
    const { stepCount } = await observeAges(
      () => Infinity,
      6_000,
      nowMs => (nowMs < readFromMs ? -Infinity : nowMs - 100),
    );
    assert.ok(stepCount < 100, `${stepCount} steps`);
  });

  it('has few reads in flight while none ends', async () => {
    const { source } = await observeAges(() => Infinity, 4_000);
    assert.ok(source.freshConnections.length <= 4);
  });

  it('does not read while it hears of recent reads by a reader', async () => {
    const { source } = await observeAges(
      () => 5,
      20_000,
      nowMs => nowMs - 900,
    );
    assert.equal(source.freshConnections.length, 0);
  });

  it('reads the state itself once the readers have gone silent', async () => {
    const silentFromMs = 5_000;
    const { agesMs, source } = await observeAges(
      () => 5,
      20_000,
      nowMs => Math.min(nowMs, silentFromMs),
    );
    assert.ok(source.freshConnections.length > 0);
    assert.ok(Math.max(...agesMs) <= MAX_FOLLOWED_AGE_MS + MAX_JITTER_MS + 100);
  });
});
