import type { Clock, Log, ServiceResponse } from '../ports/index.js';
import { NotSentError, PlatformError } from '../ports/index.js';
import { CommandKind, VerdictKind } from './claim-command.js';
import * as failures from './claim-failures.js';
import { ClaimJoiner } from './claim-joiner.js';
import { ClaimRecorder, within } from './claim-recorder.js';
import type { ClaimWriter } from './claim-writer.js';
import type {
  ClaimedDispatch,
  ClaimIntent,
  ClaimRecord,
  Claims,
  OutcomeQuery,
} from './claims.js';
import { ClaimError, ClaimErrorKind, ClaimState } from './claims.js';
import type { JournalEntry } from './journal-entry.js';
import { stateAt } from './journal-entry.js';
import { queryRan } from './outcome-query.js';

/** Time after a claim's call within which its dispatch may start. */
const DISPATCH_WINDOW_MS = 2_000;
export interface JournalClaimsOptions {
  /** Unique among daemons. */
  readonly daemonId: string;
  readonly retentionMs: number;
  /** Largest response kept, in bytes. */
  readonly maxResponseBytes: number;
}

/** One call on its way through the claims. */
interface ClaimRun {
  readonly key: string;
  readonly intent: ClaimIntent;
  readonly dispatch: ClaimedDispatch;
  readonly queryOutcome: OutcomeQuery | undefined;
}

interface LocalRun {
  readonly bodyHash: string;
  readonly response: Promise<ServiceResponse>;
}

/**
 * Claims in sharded journals of the key-value service. A run is dispatched by
 * the daemon that claimed it and by no other, once, before the stored
 * `dispatchUntilMs`. Only that daemon records `NotRun`, and only where it has
 * not dispatched and never will; so a key can be claimed again without a fence
 * at the service. All others may at most say that the outcome is unknown.
 */
export class JournalClaims implements Claims {
  private readonly localRuns = new Map<string, LocalRun>();
  private readonly recorder: ClaimRecorder;
  private readonly joiner: ClaimJoiner;
  private readonly startedAtMs: number;
  private nextClaim = 1;

  constructor(
    private readonly writer: ClaimWriter,
    private readonly clock: Clock,
    log: Log,
    private readonly options: JournalClaimsOptions,
  ) {
    this.recorder = new ClaimRecorder(
      writer,
      clock,
      log,
      options.maxResponseBytes,
    );
    this.joiner = new ClaimJoiner(writer, this.recorder, clock);
    this.startedAtMs = clock.nowMs();
  }

  async run(
    intent: ClaimIntent,
    dispatch: ClaimedDispatch,
    queryOutcome?: OutcomeQuery,
  ): Promise<ServiceResponse> {
    const key = claimKey(intent.workspace, intent.idempotencyKey);
    const local = this.localRuns.get(key);
    const run = { key, intent, dispatch, queryOutcome };
    if (local !== undefined) return this.joinLocal(local, run);
    const response = this.claimAndRun(run);
    this.localRuns.set(key, { bodyHash: intent.bodyHash, response });
    try {
      return await response;
    } finally {
      this.localRuns.delete(key);
    }
  }

  async find(
    workspace: string,
    idempotencyKey: string,
  ): Promise<ClaimRecord | undefined> {
    const key = claimKey(workspace, idempotencyKey);
    const entry = await this.read(key);
    if (entry === undefined) return undefined;
    const { bodyHash, keepUntilMs, requestId, response } = entry;
    const state = stateAt(entry, this.clock.nowMs());
    return { bodyHash, keepUntilMs, requestId, response, state };
  }

  /** Resolves once every end known here is on record, or was given up. */
  async drain(): Promise<void> {
    await this.recorder.drain();
  }

  /** Counts for the state dump. */
  dumpState(): unknown {
    return {
      ...this.writer.counts(),
      runs: this.localRuns.size,
      openSettles: this.recorder.openSettles,
    };
  }

  private async read(key: string): Promise<JournalEntry | undefined> {
    try {
      return (await this.writer.read(key)).get(key);
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      throw failures.storeUnavailable(error);
    }
  }

  private async joinLocal(
    local: LocalRun,
    run: ClaimRun,
  ): Promise<ServiceResponse> {
    const { bodyHash, deadlineAtMs } = run.intent;
    if (local.bodyHash !== bodyHash) throw failures.keyReused();
    try {
      return await within(this.clock, deadlineAtMs, local.response);
    } catch (error) {
      if (!isInProgress(error)) throw error;
      // The run that was joined waited for another daemon's, and had less time.
      if (this.clock.nowMs() >= deadlineAtMs) throw error;
      return this.run(run.intent, run.dispatch, run.queryOutcome);
    }
  }

  private async claimAndRun(run: ClaimRun): Promise<ServiceResponse> {
    const entry = this.newEntry(run.intent);
    const { key } = run;
    const command = { kind: CommandKind.Claim as const, key, entry };
    let verdict;
    try {
      verdict = await this.writer.submit(command, entry.dispatchUntilMs);
    } catch (error) {
      return this.runUnclaimed(run, entry, error);
    }
    switch (verdict.kind) {
      case VerdictKind.Granted:
        return this.runClaimed(run, entry);
      case VerdictKind.KeyReused:
        throw failures.keyReused();
      case VerdictKind.Full:
        throw failures.journalFull();
      case VerdictKind.Held:
        return this.join(run, verdict.entry);
      case VerdictKind.Expired:
      case VerdictKind.Settled:
      case VerdictKind.Ignored:
        throw this.abandon(run, entry, failures.notRun());
    }
  }

  private newEntry(intent: ClaimIntent): JournalEntry {
    const { bodyHash, deadlineAtMs, requestId } = intent;
    const { daemonId, retentionMs } = this.options;
    const nowMs = this.clock.nowMs();
    const claimId = `${daemonId}.${this.startedAtMs}.${this.nextClaim}`;
    this.nextClaim += 1;
    return {
      claimId,
      state: ClaimState.Claimed,
      bodyHash,
      requestId,
      deadlineAtMs,
      dispatchUntilMs: Math.min(deadlineAtMs, nowMs + DISPATCH_WINDOW_MS),
      keepUntilMs: Math.max(deadlineAtMs, nowMs + retentionMs),
    };
  }

  /** Waits for the run that holds the key; claims it anew where that run ended as not run. */
  private async join(
    run: ClaimRun,
    held: JournalEntry | undefined,
  ): Promise<ServiceResponse> {
    const { deadlineAtMs } = run.intent;
    const end = await this.joiner.waitForEnd(run, held);
    if (end === undefined) throw failures.outcomeUnknown();
    switch (end.state) {
      case ClaimState.Ran:
        if (end.response !== undefined) return end.response;
        return this.answerFromService(run, end, failures.responseNotKept());
      case ClaimState.NotRun:
        if (this.clock.nowMs() >= deadlineAtMs) throw failures.notRun();
        return this.claimAndRun(run);
      case ClaimState.Claimed:
      case ClaimState.Dispatched:
      case ClaimState.Unknown:
        return this.answerFromService(run, end, failures.outcomeUnknown());
    }
  }

  /** The claim could not be confirmed: nothing is sent unless the service removes duplicates. */
  private async runUnclaimed(
    run: ClaimRun,
    entry: JournalEntry,
    cause: unknown,
  ): Promise<ServiceResponse> {
    const isStoreFailure = cause instanceof PlatformError;
    if (isStoreFailure && run.intent.deduplicatedByService === true) {
      return this.dispatchOnce(run, entry);
    }
    const error = isStoreFailure ? failures.storeUnavailable(cause) : cause;
    throw this.abandon(run, entry, error);
  }

  private async runClaimed(
    run: ClaimRun,
    entry: JournalEntry,
  ): Promise<ServiceResponse> {
    if (this.clock.nowMs() >= entry.dispatchUntilMs) {
      throw this.abandon(run, entry, failures.notRun());
    }
    return this.dispatchOnce(run, entry);
  }

  /** Records that the run was never sent, in case its claim was stored; returns `error`. */
  private abandon(run: ClaimRun, entry: JournalEntry, error: unknown): unknown {
    this.recorder.abandon(run, entry);
    return error;
  }

  private async dispatchOnce(
    run: ClaimRun,
    entry: JournalEntry,
  ): Promise<ServiceResponse> {
    let response;
    try {
      response = await run.dispatch();
    } catch (error) {
      if (error instanceof NotSentError) {
        await this.recorder.settle(run, entry, ClaimState.NotRun);
        throw failures.notRun(error);
      }
      return this.answerAfterLoss(run, entry, error);
    }
    await this.recorder.settle(run, entry, ClaimState.Ran, response);
    return response;
  }

  private async answerAfterLoss(
    run: ClaimRun,
    entry: JournalEntry,
    error: unknown,
  ): Promise<ServiceResponse> {
    const settled = this.recorder.settle(run, entry, ClaimState.Unknown);
    const isLoss = error instanceof PlatformError;
    const failure = isLoss ? failures.outcomeUnknown(error) : error;
    const [answer] = await Promise.allSettled([
      this.answerFromService(run, entry, failure),
      settled,
    ]);
    if (answer.status === 'fulfilled') return answer.value;
    throw answer.reason;
  }

  /** The response that the service tells for the run, recorded; throws `failure` where it tells none. */
  private async answerFromService(
    run: ClaimRun,
    entry: JournalEntry,
    failure: unknown,
  ): Promise<ServiceResponse> {
    const { intent, queryOutcome } = run;
    const outcome = await queryRan(
      queryOutcome,
      intent.deadlineAtMs,
      this.clock,
    );
    if (outcome === undefined) throw failure;
    void this.recorder.settle(run, entry, ClaimState.Ran, outcome.response);
    if (outcome.response === undefined) throw failures.responseNotKept();
    return outcome.response;
  }
}

function claimKey(workspace: string, idempotencyKey: string): string {
  return `${workspace}/${idempotencyKey}`;
}

function isInProgress(error: unknown): boolean {
  return (
    error instanceof ClaimError && error.kind === ClaimErrorKind.InProgress
  );
}
