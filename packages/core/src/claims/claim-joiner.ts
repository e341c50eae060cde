import type { Clock } from '../ports/index.js';
import { PlatformError } from '../ports/index.js';
import * as failures from './claim-failures.js';
import type { ClaimRecorder, RecordedRun } from './claim-recorder.js';
import type { ClaimWriter } from './claim-writer.js';
import type { OutcomeQuery } from './claims.js';
import { ClaimState } from './claims.js';
import type { JournalEntry } from './journal-entry.js';
import { stateAt } from './journal-entry.js';
import { queryRan } from './outcome-query.js';

const FIRST_POLL_MS = 20;
const MAX_POLL_MS = 500;

/** A call that joins a run which another daemon holds. */
export interface JoiningRun extends RecordedRun {
  readonly queryOutcome: OutcomeQuery | undefined;
}

/** Waits for the end of a run that another daemon holds, by reading the journal and asking the service. */
export class ClaimJoiner {
  constructor(
    private readonly writer: ClaimWriter,
    private readonly recorder: ClaimRecorder,
    private readonly clock: Clock,
  ) {}

  /**
   * The entry once its run has ended or can no longer tell its end; undefined
   * where the journal holds it no more. Throws `ClaimError` of kind
   * `InProgress` at the deadline.
   */
  async waitForEnd(
    run: JoiningRun,
    held: JournalEntry | undefined,
  ): Promise<JournalEntry | undefined> {
    const { deadlineAtMs } = run.intent;
    let entry = held;
    let pollMs = FIRST_POLL_MS;
    while (entry !== undefined && this.isOpen(entry)) {
      const nowMs = this.clock.nowMs();
      if (nowMs >= deadlineAtMs) throw failures.inProgress();
      await this.clock.waitUntil(Math.min(nowMs + pollMs, deadlineAtMs));
      pollMs = Math.min(pollMs * 2, MAX_POLL_MS);
      entry = await this.read(run.key, entry);
      entry = (await this.askService(run, entry)) ?? entry;
    }
    return entry;
  }

  /**
   * The entry as ended where the service tells that a dispatched run ran; its
   * holder may be gone. What the service tells is recorded.
   */
  private async askService(
    run: JoiningRun,
    entry: JournalEntry | undefined,
  ): Promise<JournalEntry | undefined> {
    if (entry === undefined) return undefined;
    const state = stateAt(entry, this.clock.nowMs());
    if (state !== ClaimState.Dispatched) return undefined;
    const { deadlineAtMs } = run.intent;
    const told = await queryRan(run.queryOutcome, deadlineAtMs, this.clock);
    if (told === undefined) return undefined;
    const { response } = told;
    void this.recorder.settle(run, entry, ClaimState.Ran, response);
    return { ...entry, state: ClaimState.Ran, response };
  }

  private isOpen(entry: JournalEntry): boolean {
    const state = stateAt(entry, this.clock.nowMs());
    return state === ClaimState.Claimed || state === ClaimState.Dispatched;
  }

  /** The stored entry, or the one known so far where the journal cannot be read. */
  private async read(
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
