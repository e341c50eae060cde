import type { Clock } from '../ports/index.js';
import { PlatformError } from '../ports/index.js';
import * as claimErrors from './claim-errors.js';
import type { ClaimWriter } from './claim-writer.js';
import type { OutcomeQuery } from './claims.js';
import { ClaimState } from './claims.js';
import type { JournalEntry } from './journal-entry.js';
import { effectiveStateAt } from './journal-entry.js';
import { queryRanOutcome } from './outcome-query.js';
import type { OutcomeRecorder, RecordedRun } from './outcome-recorder.js';

const INITIAL_POLL_INTERVAL_MS = 20;
const MAX_POLL_INTERVAL_MS = 500;

/** A call that joins a run held by another daemon. */
export interface JoiningRun extends RecordedRun {
  readonly queryOutcome: OutcomeQuery | undefined;
}

/** Waits for the outcome of a run held by another daemon, polling the journal and querying the service. */
export class ClaimJoiner {
  constructor(
    private readonly writer: ClaimWriter,
    private readonly recorder: OutcomeRecorder,
    private readonly clock: Clock,
  ) {}

  /**
   * Returns the entry once its run has ended or its outcome is unknown, or
   * undefined where the journal no longer holds the entry. Throws `ClaimError`
   * of kind `InProgress` at the deadline.
   */
  async waitForEnd(
    run: JoiningRun,
    held: JournalEntry | undefined,
  ): Promise<JournalEntry | undefined> {
    const { deadlineAtMs } = run.intent;
    let entry = held;
    let pollIntervalMs = INITIAL_POLL_INTERVAL_MS;
    while (entry !== undefined && this.isPending(entry)) {
      const nowMs = this.clock.nowMs();
      if (nowMs >= deadlineAtMs) throw claimErrors.inProgress();
      await this.clock.waitUntil(
        Math.min(nowMs + pollIntervalMs, deadlineAtMs),
      );
      pollIntervalMs = Math.min(pollIntervalMs * 2, MAX_POLL_INTERVAL_MS);
      entry = await this.readEntry(run.key, entry);
      entry = (await this.queryService(run, entry)) ?? entry;
    }
    return entry;
  }

  /**
   * Returns the entry with its outcome where the service confirms that a
   * dispatched run was executed, and records that outcome: the daemon that
   * holds the run may have failed before recording it.
   */
  private async queryService(
    run: JoiningRun,
    entry: JournalEntry | undefined,
  ): Promise<JournalEntry | undefined> {
    if (entry === undefined) return undefined;
    const state = effectiveStateAt(entry, this.clock.nowMs());
    if (state !== ClaimState.Dispatched) return undefined;
    const { deadlineAtMs } = run.intent;
    const outcome = await queryRanOutcome(
      run.queryOutcome,
      deadlineAtMs,
      this.clock,
    );
    if (outcome === undefined) return undefined;
    const { response } = outcome;
    void this.recorder.settle(run, entry, ClaimState.Ran, response);
    return { ...entry, state: ClaimState.Ran, response };
  }

  private isPending(entry: JournalEntry): boolean {
    const state = effectiveStateAt(entry, this.clock.nowMs());
    return state === ClaimState.Claimed || state === ClaimState.Dispatched;
  }

  /** Returns the stored entry, or `known` where the journal cannot be read. */
  private async readEntry(
    key: string,
    known: JournalEntry,
  ): Promise<JournalEntry | undefined> {
    try {
      return (await this.writer.read(key)).get(key);
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      return known;
    }
  }
}
