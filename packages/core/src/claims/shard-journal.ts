import type { Clock, KeyValue, Random } from '../ports/index.js';
import {
  KeyValueUnavailableError,
  PlatformError,
  PutOutcome,
} from '../ports/index.js';
import type { ClaimCommand, ClaimVerdict } from './claim-command.js';
import { CommandKind } from './claim-command.js';
import type { JournalLimits } from './journal-state.js';
import { JournalState } from './journal-state.js';
import { WriteBudget } from './write-budget.js';

const CALL_TIMEOUT_MS = 1_000;
const MAX_BACKOFF_MS = 400;
const FIRST_BACKOFF_MS = 4;

/** Most commands that one write carries. */
const MAX_BATCH = 500;

export interface ShardOptions extends JournalLimits {
  /** Key of the journal value. */
  readonly key: string;
  /** Mean rate of this journal's writes. */
  readonly writesPerSecond: number;
}

interface PendingCommand {
  readonly command: ClaimCommand;
  readonly giveUpAtMs: number;
  readonly resolve: (verdict: ClaimVerdict) => void;
  readonly reject: (error: unknown) => void;
}

interface LoadedState {
  readonly state: JournalState;
  readonly version: number;
}

/**
 * Writes one shard's journal value by group commit: one write is in flight, and
 * the commands that arrive meanwhile go into the next. After a conflict or a
 * lost answer the value is read back and the commands are applied again, which
 * is safe because a command applied twice changes nothing more.
 */
export class ShardJournal {
  /** Writes sent to the key-value service. */
  writes = 0;
  /** Reads sent to the key-value service. */
  reads = 0;
  private pending: PendingCommand[] = [];
  private cached: LoadedState | undefined;
  private reading: Promise<JournalState> | undefined;
  private isWriting = false;
  private readonly budget: WriteBudget;
  private nextWriteAtMs = 0;
  private failures = 0;

  constructor(
    private readonly keyValue: KeyValue,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly options: ShardOptions,
  ) {
    this.budget = new WriteBudget(options.writesPerSecond);
  }

  /**
   * Applies the command; resolves once its effect is stored. Throws
   * `PlatformError` where that could not be confirmed by `giveUpAtMs`: the
   * command may take effect or not. A claim is given up at once while the
   * key-value service is down; an end of a run is tried until `giveUpAtMs`.
   */
  submit(command: ClaimCommand, giveUpAtMs: number): Promise<ClaimVerdict> {
    return new Promise((resolve, reject) => {
      this.pending.push({ command, giveUpAtMs, resolve, reject });
      if (!this.isWriting) void this.writeAll();
    });
  }

  /** Reads the stored claims; calls at the same time share a read. Throws `PlatformError`. */
  read(): Promise<JournalState> {
    this.reading ??= this.readOnce();
    return this.reading;
  }

  private async readOnce(): Promise<JournalState> {
    try {
      const loaded = await this.load(this.clock.nowMs() + CALL_TIMEOUT_MS);
      return loaded.state;
    } finally {
      this.reading = undefined;
    }
  }

  private async writeAll(): Promise<void> {
    this.isWriting = true;
    while (this.pending.length > 0) {
      const startAtMs = this.budget.takeNext(this.clock.nowMs());
      await this.clock.waitUntil(Math.max(startAtMs, this.nextWriteAtMs));
      const batch = this.pending.slice(0, MAX_BATCH);
      await this.tryWrite(batch);
    }
    this.isWriting = false;
  }

  private async tryWrite(batch: readonly PendingCommand[]): Promise<void> {
    try {
      const verdicts = await this.commit(batch);
      if (verdicts === undefined) this.backOff();
      else this.resolveAll(batch, verdicts);
      this.rejectExpired(conflictError());
    } catch (error) {
      this.cached = undefined;
      this.backOff();
      if (error instanceof PlatformError) this.rejectAfter(error, batch);
      else this.rejectAll(batch, error);
    }
  }

  /** The verdicts once they are stored, or undefined where another writer came first. */
  private async commit(
    batch: readonly PendingCommand[],
  ): Promise<readonly ClaimVerdict[] | undefined> {
    const wasCached = this.cached !== undefined;
    const deadlineAtMs = this.clock.nowMs() + CALL_TIMEOUT_MS;
    const loaded = this.cached ?? (await this.load(deadlineAtMs));
    const nowMs = this.clock.nowMs();
    const draft = loaded.state.copy();
    draft.dropOld(nowMs);
    const verdicts = batch.map(each => draft.apply(each.command, nowMs));
    if (!draft.hasChanged) {
      // What changes nothing is told from a fresh read only.
      this.cached = undefined;
      return wasCached ? this.commit(batch) : verdicts;
    }
    const version = await this.put(draft, loaded.version);
    this.cached = version === undefined ? undefined : { state: draft, version };
    return version === undefined ? undefined : verdicts;
  }

  private async put(
    draft: JournalState,
    expectedVersion: number,
  ): Promise<number | undefined> {
    this.writes += 1;
    const result = await this.keyValue.put({
      key: this.options.key,
      value: draft.encode(),
      expectedVersion,
      deadlineAtMs: this.clock.nowMs() + CALL_TIMEOUT_MS,
    });
    return result.outcome === PutOutcome.Written ? result.version : undefined;
  }

  private async load(deadlineAtMs: number): Promise<LoadedState> {
    this.reads += 1;
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
    verdicts: readonly ClaimVerdict[],
  ): void {
    this.failures = 0;
    this.drop(batch);
    batch.forEach((each, index) => {
      const verdict = verdicts[index];
      if (verdict !== undefined) each.resolve(verdict);
    });
  }

  private rejectAll(batch: readonly PendingCommand[], error: unknown): void {
    this.drop(batch);
    for (const each of batch) each.reject(error);
  }

  private rejectAfter(
    error: PlatformError,
    batch: readonly PendingCommand[],
  ): void {
    if (error instanceof KeyValueUnavailableError) {
      const claims = batch.filter(
        each => each.command.kind === CommandKind.Claim,
      );
      this.rejectAll(claims, error);
    }
    this.rejectExpired(error);
  }

  private rejectExpired(error: PlatformError): void {
    const nowMs = this.clock.nowMs();
    const expired = this.pending.filter(each => nowMs >= each.giveUpAtMs);
    this.rejectAll(expired, error);
  }

  private drop(batch: readonly PendingCommand[]): void {
    const dropped = new Set(batch);
    this.pending = this.pending.filter(each => !dropped.has(each));
  }

  private backOff(): void {
    this.failures += 1;
    const limitMs = Math.min(
      MAX_BACKOFF_MS,
      FIRST_BACKOFF_MS * 2 ** Math.min(this.failures, 10),
    );
    const delayMs = 1 + this.random.nextFloat() * limitMs;
    this.nextWriteAtMs = this.clock.nowMs() + delayMs;
  }
}

function conflictError(): KeyValueUnavailableError {
  return new KeyValueUnavailableError(
    'Other daemons kept writing the journal value first; try again later.',
  );
}
