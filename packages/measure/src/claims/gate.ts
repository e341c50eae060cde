import type {
  Clock,
  KeyValue,
  KeyValueEntry,
  Lease,
  PutRequest,
  PutResult,
  WatchResult,
} from '@skylarkreach/core/ports';
import { AnswerLostError } from '@skylarkreach/core/ports';

/** A process that can be paused and killed between any two of its steps. */
export class Gate {
  private pausedUntilMs = 0;
  private isKilled = false;

  constructor(private readonly clock: Clock) {}

  pauseUntil(atMs: number): void {
    this.pausedUntilMs = Math.max(this.pausedUntilMs, atMs);
  }

  kill(): void {
    this.isKilled = true;
  }

  /** Resolves once the process runs; never where it is killed. */
  async pass(): Promise<void> {
    await this.clock.waitUntil(this.pausedUntilMs);
    if (this.isKilled) await never();
  }
}

/** Clock as a process sees it that may be paused or killed. */
export class GatedClock implements Clock {
  constructor(
    private readonly clock: Clock,
    private readonly gate: Gate,
  ) {}

  nowMs(): number {
    return this.clock.nowMs();
  }

  async waitUntil(atMs: number, signal?: AbortSignal): Promise<void> {
    await this.clock.waitUntil(atMs, signal);
    await this.gate.pass();
  }
}

/** Decides whether a write reaches the store only after its writer gave it up. */
export type LateWritePlan = () => number | undefined;

/**
 * Key-value service as a process sees it that may be paused or killed before
 * and after each call. A late write answers as lost and takes effect later.
 */
export class GatedKeyValue implements KeyValue {
  constructor(
    private readonly inner: KeyValue,
    private readonly clock: Clock,
    private readonly gate: Gate,
    private readonly lateWriteMs: LateWritePlan,
  ) {}

  get(key: string, deadlineAtMs: number): Promise<KeyValueEntry | undefined> {
    return this.guard(() => this.inner.get(key, deadlineAtMs));
  }

  list(
    prefix: string,
    deadlineAtMs: number,
  ): Promise<readonly KeyValueEntry[]> {
    return this.guard(() => this.inner.list(prefix, deadlineAtMs));
  }

  put(request: PutRequest): Promise<PutResult> {
    const delayMs = this.lateWriteMs();
    if (delayMs === undefined) return this.guard(() => this.inner.put(request));
    return this.guard(() => {
      void this.putLate(request, delayMs);
      return Promise.reject(new AnswerLostError('The write is on its way.'));
    });
  }

  watch(): Promise<WatchResult> {
    return never();
  }

  acquireLease(): Promise<Lease | undefined> {
    return Promise.resolve(undefined);
  }

  releaseLease(): Promise<void> {
    return Promise.resolve();
  }

  private async putLate(request: PutRequest, delayMs: number): Promise<void> {
    await this.clock.waitUntil(this.clock.nowMs() + delayMs);
    await this.inner.put(request).catch(ignoreFailure);
  }

  private async guard<T>(call: () => Promise<T>): Promise<T> {
    await this.gate.pass();
    try {
      return await call();
    } finally {
      await this.gate.pass();
    }
  }
}

function never<T>(): Promise<T> {
  return new Promise(ignoreFailure);
}

function ignoreFailure(): void {
  // Nothing waits for this result.
}
