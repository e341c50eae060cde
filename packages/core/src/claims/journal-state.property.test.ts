import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import type { ClaimCommand, SettleCommand } from './claim-command.js';
import { CommandKind, VerdictKind } from './claim-command.js';
import { ClaimState } from './claims.js';
import type { JournalEntry } from './journal-entry.js';
import { stateAt } from './journal-entry.js';
import { JournalState } from './journal-state.js';

const SEED = 20_251;
const RUNS = 500;
const LIMITS = { maxJournalBytes: 3_000, maxResponseBytes: 120 };
const LAST_MS = 1_000;
const RESPONSE = { status: 200, contentType: 'text/plain', body: 'posted' };

const keys = fc.constantFrom('key-1', 'key-2', 'key-3', 'key-4');
const claimIds = fc.constantFrom('run-1', 'run-2', 'run-3');
const times = fc.integer({ min: 0, max: LAST_MS });

const claims: fc.Arbitrary<ClaimCommand> = fc.record({
  kind: fc.constant(CommandKind.Claim as const),
  key: keys,
  entry: fc.record({
    claimId: claimIds,
    state: fc.constant(ClaimState.Claimed),
    bodyHash: fc.constantFrom('hash-1', 'hash-1', 'hash-2'),
    requestId: fc.constant('request-1'),
    dispatchUntilMs: times,
    deadlineAtMs: times,
    keepUntilMs: fc.constant(LAST_MS),
  }),
});

const settles: fc.Arbitrary<ClaimCommand> = fc.record({
  kind: fc.constant(CommandKind.Settle as const),
  key: keys,
  claimId: claimIds,
  state: fc.constantFrom<SettleCommand['state']>(
    ClaimState.Ran,
    ClaimState.NotRun,
    ClaimState.Unknown,
  ),
  response: fc.constantFrom(undefined, RESPONSE),
});

const steps = fc.array(
  fc.record({ command: fc.oneof(claims, settles), nowMs: times }),
  { maxLength: 40 },
);

/** Applies each step and checks the entry of its key before and after. */
function forEachStep(
  check: (
    command: ClaimCommand,
    verdict: VerdictKind,
    before: JournalEntry | undefined,
    after: JournalEntry | undefined,
  ) => void,
): void {
  const property = fc.property(steps, list => {
    const state = JournalState.empty(LIMITS);
    for (const { command, nowMs } of list) {
      const before = state.get(command.key);
      const { kind } = state.apply(command, nowMs);
      check(command, kind, before, state.get(command.key));
    }
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
}

describe('JournalState', () => {
  it('applies a command twice as it applies it once', () => {
    const property = fc.property(steps, list => {
      const state = JournalState.empty(LIMITS);
      for (const { command, nowMs } of list) {
        const first = state.apply(command, nowMs);
        const stored = state.encode();
        const second = state.apply(command, nowMs);
        assert.equal(second.kind, first.kind);
        assert.equal(state.encode(), stored);
      }
    });
    fc.assert(property, { seed: SEED, numRuns: RUNS });
  });

  it('grants a key only where it is free, not run, or held by the same open run', () => {
    forEachStep((command, verdict, before, after) => {
      if (command.kind !== CommandKind.Claim) return;
      if (verdict !== VerdictKind.Granted) {
        assert.deepEqual(after, before);
        return;
      }
      const isFree = before === undefined || before.state === ClaimState.NotRun;
      assert.ok(isFree || before.claimId === command.entry.claimId);
      assert.equal(after?.state, ClaimState.Claimed);
      assert.equal(after.bodyHash, before?.bodyHash ?? after.bodyHash);
    });
  });

  it('changes an end only for the run that holds the key, and from unknown only to ran', () => {
    forEachStep((command, _verdict, before, after) => {
      if (command.kind !== CommandKind.Settle) return;
      if (before?.state === after?.state) return;
      assert.equal(before?.claimId, command.claimId);
      assert.notEqual(before.state, ClaimState.Ran);
      assert.notEqual(before.state, ClaimState.NotRun);
      if (before.state === ClaimState.Unknown) {
        assert.equal(after?.state, ClaimState.Ran);
      }
    });
  });

  it('grants no claim at or after its dispatch time', () => {
    const property = fc.property(claims, times, (command, nowMs) => {
      if (command.kind !== CommandKind.Claim) return;
      const { kind } = JournalState.empty(LIMITS).apply(command, nowMs);
      const isLate = nowMs >= command.entry.dispatchUntilMs;
      assert.equal(kind === VerdictKind.Granted, !isLate);
    });
    fc.assert(property, { seed: SEED, numRuns: RUNS });
  });

  it('keeps its value within the limit, and reads it back whole', () => {
    const property = fc.property(steps, list => {
      const state = JournalState.empty(LIMITS);
      for (const { command, nowMs } of list) state.apply(command, nowMs);
      const value = state.encode();
      assert.ok(Buffer.byteLength(value) <= LIMITS.maxJournalBytes);
      assert.equal(JournalState.decode(value, LIMITS).encode(), value);
    });
    fc.assert(property, { seed: SEED, numRuns: RUNS });
  });

  it('never tells not run from the time alone', () => {
    const property = fc.property(claims, times, (command, nowMs) => {
      if (command.kind !== CommandKind.Claim) return;
      assert.notEqual(stateAt(command.entry, nowMs), ClaimState.NotRun);
    });
    fc.assert(property, { seed: SEED, numRuns: RUNS });
  });
});
