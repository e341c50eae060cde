import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import type { ClaimCommand, SettleCommand } from './claim-command.js';
import { CommandKind, CommandResultKind } from './claim-command.js';
import { ClaimState } from './claims.js';
import type { JournalEntry } from './journal-entry.js';
import { effectiveStateAt } from './journal-entry.js';
import { JournalState } from './journal-state.js';

const SEED = 20_251;
const NUM_RUNS = 500;
const LIMITS = { maxJournalBytes: 3_000, maxResponseBytes: 120 };
const MAX_TIME_MS = 1_000;
const RESPONSE = { status: 200, contentType: 'text/plain', body: 'posted' };

const anyKey = fc.constantFrom('key-1', 'key-2', 'key-3', 'key-4');
const anyClaimId = fc.constantFrom('run-1', 'run-2', 'run-3');
const anyTimeMs = fc.integer({ min: 0, max: MAX_TIME_MS });

const anyClaim: fc.Arbitrary<ClaimCommand> = fc.record({
  kind: fc.constant(CommandKind.Claim as const),
  key: anyKey,
  entry: fc.record({
    claimId: anyClaimId,
    state: fc.constant(ClaimState.Claimed),
    bodyHash: fc.constantFrom('hash-1', 'hash-1', 'hash-2'),
    requestId: fc.constant('request-1'),
    dispatchUntilMs: anyTimeMs,
    deadlineAtMs: anyTimeMs,
    keepUntilMs: fc.constant(MAX_TIME_MS),
  }),
});

const anySettle: fc.Arbitrary<ClaimCommand> = fc.record({
  kind: fc.constant(CommandKind.Settle as const),
  key: anyKey,
  claimId: anyClaimId,
  state: fc.constantFrom<SettleCommand['state']>(
    ClaimState.Ran,
    ClaimState.NotRun,
    ClaimState.Unknown,
  ),
  response: fc.constantFrom(undefined, RESPONSE),
});

const anySteps = fc.array(
  fc.record({ command: fc.oneof(anyClaim, anySettle), nowMs: anyTimeMs }),
  { maxLength: 40 },
);

/** Applies generated steps and passes each one to `check`, with the entry of its key before and after. */
function forEachStep(
  check: (
    command: ClaimCommand,
    resultKind: CommandResultKind,
    before: JournalEntry | undefined,
    after: JournalEntry | undefined,
  ) => void,
): void {
  const property = fc.property(anySteps, sequence => {
    const state = JournalState.empty(LIMITS);
    for (const { command, nowMs } of sequence) {
      const before = state.get(command.key);
      const { kind } = state.apply(command, nowMs);
      check(command, kind, before, state.get(command.key));
    }
  });
  fc.assert(property, { seed: SEED, numRuns: NUM_RUNS });
}

describe('JournalState', () => {
  it('applies commands idempotently', () => {
    const property = fc.property(anySteps, sequence => {
      const state = JournalState.empty(LIMITS);
      for (const { command, nowMs } of sequence) {
        const first = state.apply(command, nowMs);
        const encoded = state.encode();
        const second = state.apply(command, nowMs);
        assert.equal(second.kind, first.kind);
        assert.equal(state.encode(), encoded);
      }
    });
    fc.assert(property, { seed: SEED, numRuns: NUM_RUNS });
  });

  it('grants a key only if it is unclaimed, not run, or held by the same pending run', () => {
    forEachStep((command, resultKind, before, after) => {
      if (command.kind !== CommandKind.Claim) return;
      if (resultKind !== CommandResultKind.Granted) {
        assert.deepEqual(after, before);
        return;
      }
      const isFree = before === undefined || before.state === ClaimState.NotRun;
      assert.ok(isFree || before.claimId === command.entry.claimId);
      assert.equal(after?.state, ClaimState.Claimed);
      assert.equal(after.bodyHash, before?.bodyHash ?? after.bodyHash);
    });
  });

  it('changes an outcome only for the run that holds the key, and from unknown only to ran', () => {
    forEachStep((command, _resultKind, before, after) => {
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

  it('grants no claim at or after the end of its dispatch window', () => {
    const property = fc.property(anyClaim, anyTimeMs, (command, nowMs) => {
      if (command.kind !== CommandKind.Claim) return;
      const { kind } = JournalState.empty(LIMITS).apply(command, nowMs);
      const isLate = nowMs >= command.entry.dispatchUntilMs;
      assert.equal(kind === CommandResultKind.Granted, !isLate);
    });
    fc.assert(property, { seed: SEED, numRuns: NUM_RUNS });
  });

  it('keeps its value within the limit, and decodes it without loss', () => {
    const property = fc.property(anySteps, sequence => {
      const state = JournalState.empty(LIMITS);
      for (const { command, nowMs } of sequence) state.apply(command, nowMs);
      const value = state.encode();
      assert.ok(Buffer.byteLength(value) <= LIMITS.maxJournalBytes);
      assert.equal(JournalState.decode(value, LIMITS).encode(), value);
    });
    fc.assert(property, { seed: SEED, numRuns: NUM_RUNS });
  });

  it('never reports not run because of elapsed time alone', () => {
    const property = fc.property(anyClaim, anyTimeMs, (command, nowMs) => {
      if (command.kind !== CommandKind.Claim) return;
      assert.notEqual(
        effectiveStateAt(command.entry, nowMs),
        ClaimState.NotRun,
      );
    });
    fc.assert(property, { seed: SEED, numRuns: NUM_RUNS });
  });
});
