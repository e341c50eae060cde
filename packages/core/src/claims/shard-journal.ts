import type { Clock, KeyValueStore, Random } from '../ports/index.js';
import {
  KeyValueUnavailableError,
  PlatformError,
  PutOutcome,
} from '../ports/index.js';
import type { ClaimCommand, CommandResult } from './claim-command.js';
import { CommandKind } from './claim-command.js';
import type { JournalLimits } from './journal-state.js';
import { JournalState } from './journal-state.js';
import { WriteRateLimiter } from './write-rate-limiter.js';

const CALL_TIMEOUT_MS = 1_000;
const MAX_BACKOFF_MS = 400;
const BACKOFF_BASE_MS = 4;

/** Maximum number of commands in one write. */
const MAX_BATCH_COMMANDS = 500;

export interface ShardJournalOptions extends JournalLimits {
  /** Key of the journal value. */
  readonly key: string;
  /** Mean write rate of this journal. */
  readonly writesPerSecond: number;
}

interface PendingCommand {
  readonly command: ClaimCommand;
  /** Time at which the command is rejected if it is not applied by then. */
  readonly giveUpAtMs: number;
  readonly resolve: (result: CommandResult) => void;
  readonly reject: (error: unknown) => void;
}

interface VersionedState {
  readonly state: JournalState;
  readonly version: number;
}

/**
 * Writes one shard's journal value by group commit: at most one write is in
 * flight, and commands that arrive meanwhile are batched into the next one.
 * After a conflict or a lost response the value is read again and the commands
 * are reapplied, which is safe because commands are idempotent.
 */
export class ShardJournal {
  /** Number of writes sent to the key-value service. */
  writeCount = 0;
  /** Number of reads sent to the key-value service. */
  readCount = 0;
  private pending: PendingCommand[] = [];
  private cachedState: VersionedState | undefined;
  private readInFlight: Promise<JournalState> | undefined;
  private isWriting = false;
  private readonly rateLimiter: WriteRateLimiter;
  private nextWriteAtMs = 0;
  private consecutiveFailures = 0;

  constructor(
    private readonly keyValue: KeyValueStore,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly options: ShardJournalOptions,
  ) {
    this.rateLimiter = new WriteRateLimiter(options.writesPerSecond);
  }

  /**
   * Applies the command; resolves once its effect is stored. Throws
   * `PlatformError` where that is not confirmed by `giveUpAtMs`; the command may
   * still take effect then. While the key-value service is unavailable a claim
   * is rejected at once, and a settle command is retried until `giveUpAtMs`.
   */
  submit(command: ClaimCommand, giveUpAtMs: number): Promise<CommandResult> {
    return new Promise((resolve, reject) => {
      this.pending.push({ command, giveUpAtMs, resolve, reject });
      if (!this.isWriting) void this.writePending();
    });
  }

  /** Reads the stored claims; concurrent calls share one read. Throws `PlatformError`. */
  read(): Promise<JournalState> {
    this.readInFlight ??= this.startRead();
    return this.readInFlight;
  }

  private async startRead(): Promise<JournalState> {
    try {
      const loaded = await this.load(this.clock.nowMs() + CALL_TIMEOUT_MS);
      return loaded.state;
    } finally {
      this.readInFlight = undefined;
    }
  }

  private async writePending(): Promise<void> {
    this.isWriting = true;
    while (this.pending.length > 0) {
      const startAtMs = this.rateLimiter.reserveWrite(this.clock.nowMs());
      await this.clock.waitUntil(Math.max(startAtMs, this.nextWriteAtMs));
      const batch = this.pending.slice(0, MAX_BATCH_COMMANDS);
      await this.writeBatch(batch);
    }
    this.isWriting = false;
  }

  private async writeBatch(batch: readonly PendingCommand[]): Promise<void> {
    try {
      const results = await this.commit(batch);
      if (results === undefined) this.backOff();
      else this.resolveAll(batch, results);
      this.rejectExpired(conflictError());
    } catch (error) {
      this.cachedState = undefined;
      this.backOff();
      if (error instanceof PlatformError) this.handleWriteError(error, batch);
      else this.rejectAll(batch, error);
    }
  }

  /** Returns the results once they are stored, or undefined after a write conflict. */
  private async commit(
    batch: readonly PendingCommand[],
  ): Promise<readonly CommandResult[] | undefined> {
    const wasCached = this.cachedState !== undefined;
    const deadlineAtMs = this.clock.nowMs() + CALL_TIMEOUT_MS;
    const loaded = this.cachedState ?? (await this.load(deadlineAtMs));
    const nowMs = this.clock.nowMs();
    const draft = loaded.state.copy();
    draft.dropExpired(nowMs);
    const results = batch.map(pending => draft.apply(pending.command, nowMs));
    if (!draft.hasChanged) {
      // A cached state can be stale, so results without a change must come from a fresh read.
      this.cachedState = undefined;
      return wasCached ? this.commit(batch) : results;
    }
    const version = await this.put(draft, loaded.version);
    this.cachedState =
      version === undefined ? undefined : { state: draft, version };
    return version === undefined ? undefined : results;
  }

  private async put(
    draft: JournalState,
    expectedVersion: number,
  ): Promise<number | undefined> {
    this.writeCount += 1;
    const result = await this.keyValue.put({
      key: this.options.key,
      value: draft.encode(),
      expectedVersion,
      deadlineAtMs: this.clock.nowMs() + CALL_TIMEOUT_MS,
    });
    return result.outcome === PutOutcome.Written ? result.version : undefined;
  }

  private async load(deadlineAtMs: number): Promise<VersionedState> {
    this.readCount += 1;
    const entry = await this.keyValue.get(this.options.key, deadlineAtMs);
    return entry === undefined
      ? { state: JournalState.empty(this.options), version: 0 }
      : {
          state: JournalState.decode(entry.value, this.options),
          version: entry.version,
        };
  }

  private resolveAll(
    batch: readonly PendingCommand[],
    results: readonly CommandResult[],
  ): void {
    this.consecutiveFailures = 0;
    this.removePending(batch);
    batch.forEach((pending, index) => {
      const result = results[index];
      if (result !== undefined) pending.resolve(result);
    });
  }

  private rejectAll(batch: readonly PendingCommand[], error: unknown): void {
    this.removePending(batch);
    for (const pending of batch) pending.reject(error);
  }

  private handleWriteError(
    error: PlatformError,
    batch: readonly PendingCommand[],
  ): void {
    if (error instanceof KeyValueUnavailableError) {
      const claims = batch.filter(
        pending => pending.command.kind === CommandKind.Claim,
      );
      this.rejectAll(claims, error);
    }
    this.rejectExpired(error);
  }

  private rejectExpired(error: PlatformError): void {
    const nowMs = this.clock.nowMs();
    const expired = this.pending.filter(pending => nowMs >= pending.giveUpAtMs);
    this.rejectAll(expired, error);
  }

  private removePending(batch: readonly PendingCommand[]): void {
    const removed = new Set(batch);
    this.pending = this.pending.filter(pending => !removed.has(pending));
  }

  private backOff(): void {
    this.consecutiveFailures += 1;
    const maxDelayMs = Math.min(
      MAX_BACKOFF_MS,
      BACKOFF_BASE_MS * 2 ** Math.min(this.consecutiveFailures, 10),
    );
    const delayMs = 1 + this.random.nextFloat() * maxDelayMs;
    this.nextWriteAtMs = this.clock.nowMs() + delayMs;
  }
}

function conflictError(): KeyValueUnavailableError {
  return new KeyValueUnavailableError(
    'Writes of the claims journal kept conflicting with those of other daemons; try again later.',
  );
}
