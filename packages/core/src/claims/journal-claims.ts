import type { Clock, Log, ServiceResponse } from '../ports/index.js';
import { NotSentError, PlatformError } from '../ports/index.js';
import { CommandKind, CommandResultKind } from './claim-command.js';
import * as claimErrors from './claim-errors.js';
import { ClaimJoiner } from './claim-joiner.js';
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
import { effectiveStateAt } from './journal-entry.js';
import { queryRanOutcome } from './outcome-query.js';
import { OutcomeRecorder, withDeadline } from './outcome-recorder.js';

/** Time after the creation of a claim within which its dispatch must start. */
const DISPATCH_WINDOW_MS = 2_000;
export interface JournalClaimsOptions {
  /** Id of this daemon, unique among all daemons. */
  readonly daemonId: string;
  readonly retentionMs: number;
  /** Maximum size of a stored response, in bytes. */
  readonly maxResponseBytes: number;
}

/** One call of `run`, with the key of its claim. */
interface ClaimRun {
  readonly key: string;
  readonly intent: ClaimIntent;
  readonly dispatch: ClaimedDispatch;
  readonly queryOutcome: OutcomeQuery | undefined;
}

/** A run in progress at this daemon, which later calls under its key join. */
interface LocalRun {
  readonly bodyHash: string;
  readonly response: Promise<ServiceResponse>;
}

/**
 * Claims stored in sharded journals of the key-value service. A run is
 * dispatched only by the daemon that claimed it, once, before the stored
 * `dispatchUntilMs`. Only that daemon records `NotRun`, and only where it has
 * not dispatched the run and never will, so a key can be claimed again without
 * a fencing token that the service would have to check. Other daemons can only
 * report the outcome as unknown or record that the service confirmed the run.
 */
export class JournalClaims implements Claims {
  private readonly localRuns = new Map<string, LocalRun>();
  private readonly recorder: OutcomeRecorder;
  private readonly joiner: ClaimJoiner;
  private readonly startedAtMs: number;
  private nextClaimNumber = 1;

  constructor(
    private readonly writer: ClaimWriter,
    private readonly clock: Clock,
    log: Log,
    private readonly options: JournalClaimsOptions,
  ) {
    this.recorder = new OutcomeRecorder(
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
    if (local !== undefined) return this.joinLocalRun(local, run);
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
    const state = effectiveStateAt(entry, this.clock.nowMs());
    return { bodyHash, keepUntilMs, requestId, response, state };
  }

  /** Resolves once every outcome pending at the time of the call is recorded or its write has been given up. */
  async drain(): Promise<void> {
    await this.recorder.drain();
  }

  /** Returns counts for the state dump; `openSettles` is the number of outcomes not recorded yet. */
  dumpState(): unknown {
    return {
      ...this.writer.operationCounts(),
      runs: this.localRuns.size,
      openSettles: this.recorder.pendingWriteCount,
    };
  }

  private async read(key: string): Promise<JournalEntry | undefined> {
    try {
      return (await this.writer.read(key)).get(key);
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      throw claimErrors.storeUnavailable(error);
    }
  }

  private async joinLocalRun(
    local: LocalRun,
    run: ClaimRun,
  ): Promise<ServiceResponse> {
    const { bodyHash, deadlineAtMs } = run.intent;
    if (local.bodyHash !== bodyHash) throw claimErrors.keyReused();
    try {
      return await withDeadline(this.clock, deadlineAtMs, local.response);
    } catch (error) {
      if (!isInProgress(error)) throw error;
      // The joined run waited for a run of another daemon until its own, earlier deadline.
      if (this.clock.nowMs() >= deadlineAtMs) throw error;
      return this.run(run.intent, run.dispatch, run.queryOutcome);
    }
  }

  private async claimAndRun(run: ClaimRun): Promise<ServiceResponse> {
    const entry = this.createEntry(run.intent);
    const { key } = run;
    const command = { kind: CommandKind.Claim as const, key, entry };
    let result;
    try {
      result = await this.writer.submit(command, entry.dispatchUntilMs);
    } catch (error) {
      return this.handleClaimFailure(run, entry, error);
    }
    switch (result.kind) {
      case CommandResultKind.Granted:
        return this.runClaimed(run, entry);
      case CommandResultKind.KeyReused:
        throw claimErrors.keyReused();
      case CommandResultKind.Full:
        throw claimErrors.journalFull();
      case CommandResultKind.Held:
        return this.joinRemoteRun(run, result.entry);
      case CommandResultKind.Expired:
      case CommandResultKind.Settled:
      case CommandResultKind.Ignored:
        throw this.abandon(run, entry, claimErrors.notRun());
    }
  }

  private createEntry(intent: ClaimIntent): JournalEntry {
    const { bodyHash, deadlineAtMs, requestId } = intent;
    const { daemonId, retentionMs } = this.options;
    const nowMs = this.clock.nowMs();
    const claimId = `${daemonId}.${this.startedAtMs}.${this.nextClaimNumber}`;
    this.nextClaimNumber += 1;
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

  /** Waits for the run that holds the key, and claims the key again where that run ended as `NotRun`. */
  private async joinRemoteRun(
    run: ClaimRun,
    held: JournalEntry | undefined,
  ): Promise<ServiceResponse> {
    const { deadlineAtMs } = run.intent;
    const endedEntry = await this.joiner.waitForEnd(run, held);
    if (endedEntry === undefined) throw claimErrors.outcomeUnknown();
    switch (endedEntry.state) {
      case ClaimState.Ran:
        if (endedEntry.response !== undefined) return endedEntry.response;
        return this.queryServiceResponse(
          run,
          endedEntry,
          claimErrors.responseNotKept(),
        );
      case ClaimState.NotRun:
        if (this.clock.nowMs() >= deadlineAtMs) throw claimErrors.notRun();
        return this.claimAndRun(run);
      case ClaimState.Claimed:
      case ClaimState.Dispatched:
      case ClaimState.Unknown:
        return this.queryServiceResponse(
          run,
          endedEntry,
          claimErrors.outcomeUnknown(),
        );
    }
  }

  /** Handles a claim that could not be confirmed: the call is sent only if the service deduplicates calls by key. */
  private async handleClaimFailure(
    run: ClaimRun,
    entry: JournalEntry,
    cause: unknown,
  ): Promise<ServiceResponse> {
    const isStoreFailure = cause instanceof PlatformError;
    if (isStoreFailure && run.intent.deduplicatedByService === true) {
      return this.dispatchAndSettle(run, entry);
    }
    const error = isStoreFailure ? claimErrors.storeUnavailable(cause) : cause;
    throw this.abandon(run, entry, error);
  }

  private async runClaimed(
    run: ClaimRun,
    entry: JournalEntry,
  ): Promise<ServiceResponse> {
    if (this.clock.nowMs() >= entry.dispatchUntilMs) {
      throw this.abandon(run, entry, claimErrors.notRun());
    }
    return this.dispatchAndSettle(run, entry);
  }

  /** Records that the run was never dispatched, in case its claim was stored; returns `error`. */
  private abandon(run: ClaimRun, entry: JournalEntry, error: unknown): unknown {
    this.recorder.abandon(run, entry);
    return error;
  }

  private async dispatchAndSettle(
    run: ClaimRun,
    entry: JournalEntry,
  ): Promise<ServiceResponse> {
    let response;
    try {
      response = await run.dispatch();
    } catch (error) {
      if (error instanceof NotSentError) {
        await this.recorder.settle(run, entry, ClaimState.NotRun);
        throw claimErrors.notRun(error);
      }
      return this.recoverLostResponse(run, entry, error);
    }
    await this.recorder.settle(run, entry, ClaimState.Ran, response);
    return response;
  }

  private async recoverLostResponse(
    run: ClaimRun,
    entry: JournalEntry,
    error: unknown,
  ): Promise<ServiceResponse> {
    const settlement = this.recorder.settle(run, entry, ClaimState.Unknown);
    const isPlatformFailure = error instanceof PlatformError;
    const failure = isPlatformFailure
      ? claimErrors.outcomeUnknown(error)
      : error;
    const [response] = await Promise.allSettled([
      this.queryServiceResponse(run, entry, failure),
      settlement,
    ]);
    if (response.status === 'fulfilled') return response.value;
    throw response.reason;
  }

  /** Returns and records the response that the service reports for the run; throws `failure` where the service does not confirm the run. */
  private async queryServiceResponse(
    run: ClaimRun,
    entry: JournalEntry,
    failure: unknown,
  ): Promise<ServiceResponse> {
    const { intent, queryOutcome } = run;
    const outcome = await queryRanOutcome(
      queryOutcome,
      intent.deadlineAtMs,
      this.clock,
    );
    if (outcome === undefined) throw failure;
    void this.recorder.settle(run, entry, ClaimState.Ran, outcome.response);
    if (outcome.response === undefined) throw claimErrors.responseNotKept();
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
