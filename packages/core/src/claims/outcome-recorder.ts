import type { Clock, Log, ServiceResponse } from '../ports/index.js';
import { LogComponent } from '../ports/index.js';
import type { CommandResult, SettleCommand } from './claim-command.js';
import { CommandKind, CommandResultKind } from './claim-command.js';
import * as claimErrors from './claim-errors.js';
import type { ClaimWriter } from './claim-writer.js';
import type { ClaimIntent } from './claims.js';
import { ClaimState } from './claims.js';
import type { JournalEntry } from './journal-entry.js';
import { responseSizeBytes } from './journal-entry.js';

/** Maximum time for which a response is held back until the run's outcome is recorded. */
const MAX_SETTLE_WAIT_MS = 50;
/** Time for which recording a run's outcome is retried. */
const SETTLE_RETRY_TIMEOUT_MS = 30_000;
/** Upper bound of the time that a claim in transit takes to reach the key-value service. */
const MAX_CLAIM_DELAY_MS = 1_000;
/** Time for which recording an abandoned run is retried, for each of its two attempts. */
const ABANDON_RETRY_TIMEOUT_MS = 2_000;

/** A run whose outcome is recorded. */
export interface RecordedRun {
  readonly key: string;
  readonly intent: ClaimIntent;
}

/** Records the outcomes of this daemon's own runs in the journal. */
export class OutcomeRecorder {
  private readonly pendingWrites = new Set<Promise<unknown>>();

  constructor(
    private readonly writer: ClaimWriter,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly maxResponseBytes: number,
  ) {}

  /** Number of outcomes that are not recorded yet. */
  get pendingWriteCount(): number {
    return this.pendingWrites.size;
  }

  /** Resolves once every outcome pending at the time of the call is recorded or its write has been given up. */
  async drain(): Promise<void> {
    await Promise.allSettled([...this.pendingWrites]);
  }

  /** Records in the background that the run was never dispatched. */
  abandon(run: RecordedRun, entry: JournalEntry): void {
    void this.trackWrite(this.recordNotRun(run, entry), run);
  }

  /**
   * Records `NotRun`, a second time if the first write did not settle the claim:
   * a claim in transit can still be stored until its dispatch window closes, so
   * the second write waits for that window and `MAX_CLAIM_DELAY_MS`.
   */
  private async recordNotRun(
    run: RecordedRun,
    entry: JournalEntry,
  ): Promise<void> {
    const retryTimeoutMs = ABANDON_RETRY_TIMEOUT_MS;
    const submit = () =>
      this.submitOutcome(
        run,
        entry,
        ClaimState.NotRun,
        undefined,
        retryTimeoutMs,
      );
    const firstResult = await submit().catch(ignoreAbort);
    if (firstResult?.kind === CommandResultKind.Settled) return;
    await this.clock.waitUntil(entry.dispatchUntilMs + MAX_CLAIM_DELAY_MS);
    await submit();
  }

  /** Records the outcome of a run. Waits at most `MAX_SETTLE_WAIT_MS`; later retries go on in the background. */
  async settle(
    run: RecordedRun,
    entry: JournalEntry,
    state: SettleCommand['state'],
    response?: ServiceResponse,
  ): Promise<void> {
    const waitUntilMs = this.clock.nowMs() + MAX_SETTLE_WAIT_MS;
    const write = this.trackWrite(
      this.submitOutcome(run, entry, state, response),
      run,
    );
    await withDeadline(this.clock, waitUntilMs, write).catch(ignoreAbort);
  }

  private submitOutcome(
    run: RecordedRun,
    entry: JournalEntry,
    state: SettleCommand['state'],
    response?: ServiceResponse,
    retryTimeoutMs = SETTLE_RETRY_TIMEOUT_MS,
  ): Promise<CommandResult> {
    const command: SettleCommand = {
      kind: CommandKind.Settle,
      key: run.key,
      claimId: entry.claimId,
      state,
      response: this.responseWithinLimit(response),
    };
    return this.writer.submit(command, this.clock.nowMs() + retryTimeoutMs);
  }

  /** Tracks a write so that `drain` waits for it, and logs its failure. */
  private trackWrite(
    write: Promise<unknown>,
    run: RecordedRun,
  ): Promise<unknown> {
    const tracked = write
      .catch((error: unknown) => {
        this.logWriteFailure(run, error);
      })
      .finally(() => this.pendingWrites.delete(tracked));
    this.pendingWrites.add(tracked);
    return tracked;
  }

  private responseWithinLimit(
    response: ServiceResponse | undefined,
  ): ServiceResponse | undefined {
    if (response === undefined) return undefined;
    const { maxResponseBytes } = this;
    return responseSizeBytes(response) <= maxResponseBytes
      ? response
      : undefined;
  }

  private logWriteFailure(run: RecordedRun, error: unknown): void {
    this.log.warn(
      LogComponent.Claims,
      'The end of a call could not be recorded.',
      {
        requestId: run.intent.requestId,
        error: String(error),
      },
    );
  }
}

/** Returns the result; throws `ClaimError` of kind `InProgress` where it has not resolved by `deadlineAtMs`. */
export async function withDeadline<T>(
  clock: Clock,
  deadlineAtMs: number,
  result: Promise<T>,
): Promise<T> {
  const stopWaiting = new AbortController();
  const timeout = clock
    .waitUntil(deadlineAtMs, stopWaiting.signal)
    .then(() => Promise.reject(claimErrors.inProgress()));
  try {
    return await Promise.race([result, timeout]);
  } finally {
    timeout.catch(ignoreAbort);
    stopWaiting.abort();
  }
}

function ignoreAbort(): undefined {
  // The wait is cancelled once its result is no longer needed.
}
