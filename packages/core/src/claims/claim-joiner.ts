import type { Clock } from '../platform/index.js';
import { PlatformError } from '../platform/index.js';
import * as failures from './claim-failures.js';
import type { ClaimWriter } from './claim-writer.js';
import { ClaimState } from './claims.js';
import type { JournalEntry } from './journal-entry.js';
import { stateAt } from './journal-entry.js';

const FIRST_POLL_MS = 20;
const MAX_POLL_MS = 500;

/** Waits for the end of a run that another daemon holds, by reading the journal. */
export class ClaimJoiner {
  constructor(
    private readonly writer: ClaimWriter,
    private readonly clock: Clock,
  ) {}

  /**
   * The entry once its run has ended or can no longer tell its end; undefined
   * where the journal holds it no more. Throws `ClaimError` of kind
   * `InProgress` at the deadline.
   */
  async waitForEnd(
    key: string,
    held: JournalEntry | undefined,
    deadlineAtMs: number,
  ): Promise<JournalEntry | undefined> {
    let entry = held;
    let pollMs = FIRST_POLL_MS;
    while (entry !== undefined && this.isOpen(entry)) {
      const nowMs = this.clock.nowMs();
      if (nowMs >= deadlineAtMs) throw failures.inProgress();
      await this.clock.waitUntil(Math.min(nowMs + pollMs, deadlineAtMs));
      pollMs = Math.min(pollMs * 2, MAX_POLL_MS);
      entry = await this.read(key, entry);
    }
    return entry;
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
