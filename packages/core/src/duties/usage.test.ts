import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { Fault, FaultyKeyValue, MemoryKeyValue } from '../fakes/index.js';
import type { KeyValueStore } from '../ports/index.js';
import { ManualClock, noopLog, RefusedError } from '../ports/index.js';
import type { DutyApi, FencingToken, UsageReport } from './duty-api.js';
import { ReportOutcome, ScalingOutcome } from './duty-api.js';
import { UsageLedger } from './usage-ledger.js';
import { UsageReporter } from './usage-reporter.js';

const WINDOW_MS = 5_000;

/** Platform double that records the accepted reports, and refuses calls while it is down. */
class FakePlatform implements DutyApi {
  readonly reports: UsageReport[] = [];
  isDown = false;
  /** Number of reports received, whether or not they were accepted. */
  received = 0;
  outcome = ReportOutcome.Accepted;

  reportUsage(report: UsageReport): Promise<ReportOutcome> {
    if (this.isDown) return Promise.reject(new RefusedError('down', false));
    this.received += 1;
    if (this.outcome === ReportOutcome.Accepted) this.reports.push(report);
    return Promise.resolve(this.outcome);
  }

  orderEndpoints(): Promise<ScalingOutcome> {
    return Promise.resolve(ScalingOutcome.Accepted);
  }
}

function createReporter(
  clock: ManualClock,
  keyValue: KeyValueStore,
  platform: DutyApi,
  ledger: UsageLedger,
  isComplete = () => true,
) {
  return new UsageReporter({
    clock,
    keyValue,
    dutyApi: platform,
    ledger,
    log: noopLog,
    isComplete,
    maxWaitMs: 6_000,
    hasRestored: () => true,
  });
}

function tokenOf(holder: string, fencingNumber: number): () => FencingToken {
  return () => ({ holder, fencingNumber });
}

describe('usage', () => {
  it('goes on with later windows after a stored value that cannot be read, and leaves out those before', async () => {
    for (const value of ['{', '[{"windowId":"x"}]', 'null']) {
      const clock = new ManualClock(10_000);
      const ledger = new UsageLedger(WINDOW_MS, () => clock.nowMs());
      const platform = new FakePlatform();
      const store = new MemoryKeyValue(clock);
      await store.put({
        key: 'skylarkreach/usage',
        value,
        expectedVersion: 0,
        deadlineAtMs: 11_000,
      });
      const reporter = createReporter(clock, store, platform, ledger);
      ledger.count('kowhai', 0);
      await clock.advanceTo(16_500);
      await reporter.step(tokenOf('a', 1));
      assert.deepEqual(platform.reports, []);
      ledger.count('kowhai', 0);
      await clock.advanceTo(21_600);
      await reporter.step(tokenOf('a', 1));
      assert.deepEqual(platform.reports, [
        { windowId: 3, counts: { kowhai: 1 } },
      ]);
    }
  });

  it('is not sent again once the platform has rejected it', async () => {
    const clock = new ManualClock(10_000);
    const ledger = new UsageLedger(WINDOW_MS, () => clock.nowMs());
    const platform = new FakePlatform();
    platform.outcome = ReportOutcome.Rejected;
    const store = new MemoryKeyValue(clock);
    const reporter = createReporter(clock, store, platform, ledger);
    ledger.count('kowhai', 0);
    await clock.advanceTo(16_500);
    await reporter.step(tokenOf('a', 1));
    const { received } = platform;
    await reporter.step(tokenOf('a', 1));
    assert.equal(platform.received, received);
  });

  it('is reported once for each window, with the counts of all daemons', async () => {
    const clock = new ManualClock(10_000);
    const ledger = new UsageLedger(WINDOW_MS, () => clock.nowMs());
    const platform = new FakePlatform();
    const store = new MemoryKeyValue(clock);
    const reporter = createReporter(clock, store, platform, ledger);
    ledger.count('kowhai', 0);
    ledger.count('kowhai', 200);
    ledger.applyPeer({
      lifetime: 'b/1',
      usage: [{ windowId: 2, counts: { kowhai: 3, lumela: 1 } }],
    });
    await clock.advanceTo(16_500);
    await reporter.step(tokenOf('a', 1));
    await reporter.step(tokenOf('a', 1));
    assert.deepEqual(platform.reports, [
      { windowId: 1, counts: { kowhai: 1 } },
      { windowId: 2, counts: { kowhai: 4, lumela: 1 } },
    ]);
  });

  it('is repeated with the same counts by a new holder of the duties, whatever its own ledger holds', async () => {
    const clock = new ManualClock(10_000);
    const store = new MemoryKeyValue(clock);
    const platform = new FakePlatform();
    const firstLedger = new UsageLedger(WINDOW_MS, () => clock.nowMs());
    firstLedger.count('kowhai', 0);
    platform.isDown = true;
    await clock.advanceTo(16_500);
    const firstReporter = createReporter(clock, store, platform, firstLedger);
    await firstReporter.step(tokenOf('a', 1));
    assert.equal(platform.reports.length, 0);
    platform.isDown = false;
    const secondLedger = new UsageLedger(WINDOW_MS, () => clock.nowMs());
    secondLedger.applyPeer({
      lifetime: 'a/1',
      usage: [{ windowId: 2, counts: { kowhai: 9 } }],
    });
    const secondReporter = createReporter(clock, store, platform, secondLedger);
    await secondReporter.step(tokenOf('b', 2));
    assert.deepEqual(platform.reports, [
      { windowId: 2, counts: { kowhai: 1 } },
    ]);
  });

  it('is read again before it is sent where the response to a write was lost', async () => {
    const clock = new ManualClock(10_000);
    let losesAnswers = true;
    const store = new FaultyKeyValue(new MemoryKeyValue(clock), clock, call =>
      call === 'put' && losesAnswers ? Fault.AnswerLost : Fault.None,
    );
    const platform = new FakePlatform();
    const ledger = new UsageLedger(WINDOW_MS, () => clock.nowMs());
    ledger.count('kowhai', 0);
    await clock.advanceTo(16_500);
    const reporter = createReporter(clock, store, platform, ledger);
    await reporter.step(tokenOf('a', 1));
    assert.equal(platform.reports.length, 0);
    losesAnswers = false;
    ledger.count('kowhai', 6_000);
    await reporter.step(tokenOf('a', 1));
    assert.deepEqual(platform.reports, [
      { windowId: 2, counts: { kowhai: 1 } },
    ]);
  });

  it('is not reported again with other counts after the store was restored from an older copy', async () => {
    const clock = new ManualClock(10_000);
    const ledger = new UsageLedger(WINDOW_MS, () => clock.nowMs());
    const platform = new FakePlatform();
    const store = new MemoryKeyValue(clock);
    ledger.count('kowhai', 0);
    await clock.advanceTo(16_500);
    const reporter = createReporter(clock, store, platform, ledger);
    await reporter.step(tokenOf('a', 1));
    await store.put({
      key: 'skylarkreach/usage',
      value: '[]',
      expectedVersion: 1,
      deadlineAtMs: 17_000,
    });
    ledger.count('kowhai', 6_000);
    ledger.count('kowhai', 0);
    await clock.advanceTo(21_600);
    await reporter.step(tokenOf('a', 2));
    const successor = createReporter(clock, store, platform, ledger);
    await successor.step(tokenOf('b', 3));
    const reports = platform.reports.filter(each => each.windowId === 2);
    assert.deepEqual(reports, [
      { windowId: 2, counts: { kowhai: 1 } },
      { windowId: 2, counts: { kowhai: 1 } },
    ]);
  });

  it('waits for missing counts of daemons, up to a limit', async () => {
    const clock = new ManualClock(10_000);
    const store = new MemoryKeyValue(clock);
    const platform = new FakePlatform();
    const ledger = new UsageLedger(WINDOW_MS, () => clock.nowMs());
    ledger.count('kowhai', 0);
    const reporter = createReporter(
      clock,
      store,
      platform,
      ledger,
      () => false,
    );
    await clock.advanceTo(20_999);
    await reporter.step(tokenOf('a', 1));
    assert.equal(platform.reports.length, 0);
    await clock.advanceTo(21_000);
    await reporter.step(tokenOf('a', 1));
    assert.equal(platform.reports.length, 1);
  });

  it('is not sent by a daemon that has lost the lease', async () => {
    const clock = new ManualClock(10_000);
    const store = new MemoryKeyValue(clock);
    const platform = new FakePlatform();
    const ledger = new UsageLedger(WINDOW_MS, () => clock.nowMs());
    ledger.count('kowhai', 0);
    await clock.advanceTo(16_500);
    const reporter = createReporter(clock, store, platform, ledger);
    let tokenReads = 0;
    await reporter.step(() => {
      tokenReads += 1;
      return tokenReads === 1 ? { holder: 'a', fencingNumber: 1 } : undefined;
    });
    assert.equal(platform.reports.length, 0);
  });
});
