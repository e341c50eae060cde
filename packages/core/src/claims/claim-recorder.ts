import type { Clock, Log, ServiceResponse } from '../ports/index.js';
import { LogPart } from '../ports/index.js';
import type { ClaimVerdict, SettleCommand } from './claim-command.js';
import { CommandKind, VerdictKind } from './claim-command.js';
import * as failures from './claim-failures.js';
import type { ClaimWriter } from './claim-writer.js';
import type { ClaimIntent } from './claims.js';
import { ClaimState } from './claims.js';
import type { JournalEntry } from './journal-entry.js';
import { responseBytes } from './journal-entry.js';

/** Longest time that an answer waits for its record. */
const SETTLE_WAIT_MS = 50;
/** Time for which the record of an end is tried. */
const SETTLE_RETRY_MS = 30_000;
/** Longest time that a claim on its way to the key-value service may take to arrive. */
const LATE_CLAIM_MS = 1_000;
/** Time for which the end of an abandoned run is tried. */
const ABANDON_RETRY_MS = 2_000;

/** The run whose end is recorded. */
export interface RecordedRun {
  readonly key: string;
  readonly intent: ClaimIntent;
}

/** Records the ends of this daemon's own runs in the journal. */
export class ClaimRecorder {
  private readonly open = new Set<Promise<unknown>>();

  constructor(
    private readonly writer: ClaimWriter,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly maxResponseBytes: number,
  ) {}

  /** Number of ends that are not on record yet. */
  get openSettles(): number {
    return this.open.size;
  }

  /** Resolves once every end known here is on record, or was given up. */
  async drain(): Promise<void> {
    await Promise.allSettled([...this.open]);
  }

  /** Records in the background that the run was never sent. */
  abandon(run: RecordedRun, entry: JournalEntry): void {
    void this.track(this.recordAbandoned(run, entry), run);
  }

  /** A claim on its way can still be stored while its dispatch could start, so that time is waited out. */
  private async recordAbandoned(
    run: RecordedRun,
    entry: JournalEntry,
  ): Promise<void> {
    const retryMs = ABANDON_RETRY_MS;
    const settle = () =>
      this.record(run, entry, ClaimState.NotRun, undefined, retryMs);
    const first = await settle().catch(ignoreAbort);
    if (first?.kind === VerdictKind.Settled) return;
    await this.clock.waitUntil(entry.dispatchUntilMs + LATE_CLAIM_MS);
    await settle();
  }

  /** Records the end of a run. Waits a bounded time; the record is tried further after it. */
  async settle(
    run: RecordedRun,
    entry: JournalEntry,
    state: SettleCommand['state'],
    response?: ServiceResponse,
  ): Promise<void> {
    const waitUntilMs = this.clock.nowMs() + SETTLE_WAIT_MS;
    const written = this.track(this.record(run, entry, state, response), run);
    await within(this.clock, waitUntilMs, written).catch(ignoreAbort);
  }

  private record(
    run: RecordedRun,
    entry: JournalEntry,
    state: SettleCommand['state'],
    response?: ServiceResponse,
    retryMs = SETTLE_RETRY_MS,
  ): Promise<ClaimVerdict> {
    const command: SettleCommand = {
      kind: CommandKind.Settle,
      key: run.key,
      claimId: entry.claimId,
      state,
      response: this.boundedResponse(response),
    };
    return this.writer.submit(command, this.clock.nowMs() + retryMs);
  }

  /** Keeps a write for `drain`; its failure is logged. */
  private track(write: Promise<unknown>, run: RecordedRun): Promise<unknown> {
    const tracked = write
      .catch((error: unknown) => {
        this.logUnrecorded(run, error);
      })
      .finally(() => this.open.delete(tracked));
    this.open.add(tracked);
    return tracked;
  }

  private boundedResponse(
    response: ServiceResponse | undefined,
  ): ServiceResponse | undefined {
    if (response === undefined) return undefined;
    const { maxResponseBytes } = this;
    return responseBytes(response) <= maxResponseBytes ? response : undefined;
  }

  private logUnrecorded(run: RecordedRun, error: unknown): void {
    this.log.warn(LogPart.Claims, 'The end of a call could not be recorded.', {
      requestId: run.intent.requestId,
      error: String(error),
    });
  }
}

/** The result, or `ClaimError` of kind `InProgress` where it does not come by `atMs`. */
export async function within<T>(
  clock: Clock,
  atMs: number,
  result: Promise<T>,
): Promise<T> {
  const stopWaiting = new AbortController();
  const timeout = clock
    .waitUntil(atMs, stopWaiting.signal)
    .then(() => Promise.reject(failures.inProgress()));
  try {
    return await Promise.race([result, timeout]);
  } finally {
    timeout.catch(ignoreAbort);
    stopWaiting.abort();
  }
}

function ignoreAbort(): undefined {
  // The wait was ended because its result is no longer needed.
}
