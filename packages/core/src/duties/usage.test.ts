import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { Fault, FaultyKeyValue, MemoryKeyValue } from '../fakes/index.js';
import type { KeyValue } from '../ports/index.js';
import { ManualClock, RefusedError, silentLog } from '../ports/index.js';
import type { DutyCalls, DutyProof, UsageReport } from './duty-calls.js';
import { OrderOutcome } from './duty-calls.js';
import { UsageLedger } from './usage-ledger.js';
import { UsageReporter } from './usage-reporter.js';

const WINDOW_MS = 5_000;

/** Keeps what the platform accepted; refuses while it is down. */
class RecordingCalls implements DutyCalls {
  readonly reports: UsageReport[] = [];
  isDown = false;

  reportUsage(report: UsageReport): Promise<void> {
    if (this.isDown) return Promise.reject(new RefusedError('down', false));
    this.reports.push(report);
    return Promise.resolve();
  }

  order(): Promise<OrderOutcome> {
    return Promise.resolve(OrderOutcome.Accepted);
  }
}

function reporterOf(
  clock: ManualClock,
  keyValue: KeyValue,
  calls: DutyCalls,
  ledger: UsageLedger,
  isComplete = () => true,
) {
  return new UsageReporter({
    clock,
    keyValue,
    calls,
    ledger,
    log: silentLog,
    isComplete,
    latestMs: 6_000,
  });
}

function proofOf(holder: string, fencingNumber: number): () => DutyProof {
  return () => ({ holder, fencingNumber });
}

describe('usage', () => {
  it('is reported once a window, with the counts of all daemons', async () => {
    const clock = new ManualClock(10_000);
    const ledger = new UsageLedger(WINDOW_MS, () => clock.nowMs());
    const calls = new RecordingCalls();
    const store = new MemoryKeyValue(clock);
    const reporter = reporterOf(clock, store, calls, ledger);
    ledger.count('kowhai', 0);
    ledger.count('kowhai', 200);
    ledger.applyPeer({
      lifetime: 'b/1',
      usage: [{ windowId: 2, counts: { kowhai: 3, lumela: 1 } }],
    });
    await clock.advanceTo(16_500);
    await reporter.step(proofOf('a', 1));
    await reporter.step(proofOf('a', 1));
    assert.deepEqual(calls.reports, [
      { windowId: 1, counts: { kowhai: 1 } },
      { windowId: 2, counts: { kowhai: 4, lumela: 1 } },
    ]);
  });

  it('is repeated exactly by a successor, whatever it has counted itself', async () => {
    const clock = new ManualClock(10_000);
    const store = new MemoryKeyValue(clock);
    const calls = new RecordingCalls();
    const first = new UsageLedger(WINDOW_MS, () => clock.nowMs());
    first.count('kowhai', 0);
    calls.isDown = true;
    await clock.advanceTo(16_500);
    const before = reporterOf(clock, store, calls, first);
    await before.step(proofOf('a', 1));
    assert.equal(calls.reports.length, 0);
    calls.isDown = false;
    const second = new UsageLedger(WINDOW_MS, () => clock.nowMs());
    second.applyPeer({
      lifetime: 'a/1',
      usage: [{ windowId: 2, counts: { kowhai: 9 } }],
    });
    const after = reporterOf(clock, store, calls, second);
    await after.step(proofOf('b', 2));
    assert.deepEqual(calls.reports, [{ windowId: 2, counts: { kowhai: 1 } }]);
  });

  it('is read back before it is sent where the answer of a write was lost', async () => {
    const clock = new ManualClock(10_000);
    let losesAnswers = true;
    const store = new FaultyKeyValue(new MemoryKeyValue(clock), clock, call =>
      call === 'put' && losesAnswers ? Fault.AnswerLost : Fault.None,
    );
    const calls = new RecordingCalls();
    const ledger = new UsageLedger(WINDOW_MS, () => clock.nowMs());
    ledger.count('kowhai', 0);
    await clock.advanceTo(16_500);
    const reporter = reporterOf(clock, store, calls, ledger);
    await reporter.step(proofOf('a', 1));
    assert.equal(calls.reports.length, 0);
    losesAnswers = false;
    ledger.count('kowhai', 6_000);
    await reporter.step(proofOf('a', 1));
    assert.deepEqual(calls.reports, [{ windowId: 2, counts: { kowhai: 1 } }]);
  });

  it('waits for the counts of daemons not heard of, up to a bound', async () => {
    const clock = new ManualClock(10_000);
    const store = new MemoryKeyValue(clock);
    const calls = new RecordingCalls();
    const ledger = new UsageLedger(WINDOW_MS, () => clock.nowMs());
    ledger.count('kowhai', 0);
    const reporter = reporterOf(clock, store, calls, ledger, () => false);
    await clock.advanceTo(20_999);
    await reporter.step(proofOf('a', 1));
    assert.equal(calls.reports.length, 0);
    await clock.advanceTo(21_000);
    await reporter.step(proofOf('a', 1));
    assert.equal(calls.reports.length, 1);
  });

  it('is not sent by a daemon that has lost the duty', async () => {
    const clock = new ManualClock(10_000);
    const store = new MemoryKeyValue(clock);
    const calls = new RecordingCalls();
    const ledger = new UsageLedger(WINDOW_MS, () => clock.nowMs());
    ledger.count('kowhai', 0);
    await clock.advanceTo(16_500);
    const reporter = reporterOf(clock, store, calls, ledger);
    let asked = 0;
    await reporter.step(() => {
      asked += 1;
      return asked === 1 ? { holder: 'a', fencingNumber: 1 } : undefined;
    });
    assert.equal(calls.reports.length, 0);
  });
});
