import type {
  Clock,
  KeyValueEntry,
  KeyValueStore,
  Lease,
  PutRequest,
  PutResult,
  WatchResult,
} from '@skylarkreach/core/ports';
import { AnswerLostError } from '@skylarkreach/core/ports';

/** Control of a simulated process that can be paused and killed between any two of its asynchronous steps. */
export class ProcessControl {
  private pausedUntilMs = 0;
  private isKilled = false;

  constructor(private readonly clock: Clock) {}

  pauseUntil(atMs: number): void {
    this.pausedUntilMs = Math.max(this.pausedUntilMs, atMs);
  }

  kill(): void {
    this.isKilled = true;
  }

  /** Resolves once the process is no longer paused; never if it was killed. */
  async waitUntilRunning(): Promise<void> {
    await this.clock.waitUntil(this.pausedUntilMs);
    if (this.isKilled) await never();
  }
}

/** Clock of a process that can be paused or killed: timers fire only while it runs. */
export class PausableClock implements Clock {
  constructor(
    private readonly clock: Clock,
    private readonly control: ProcessControl,
  ) {}

  nowMs(): number {
    return this.clock.nowMs();
  }

  async waitUntil(atMs: number, signal?: AbortSignal): Promise<void> {
    await this.clock.waitUntil(atMs, signal);
    await this.control.waitUntilRunning();
  }
}

/**
 * Draws the delay of a write that reaches the store only after its writer has
 * been told that the answer is lost; `undefined` for a write in time.
 */
export type DrawLateWriteDelayMs = () => number | undefined;

/**
 * Key-value client of a process that can be paused or killed before and after
 * each call. A late write rejects with `AnswerLostError` and takes effect later.
 */
export class PausableKeyValue implements KeyValueStore {
  constructor(
    private readonly inner: KeyValueStore,
    private readonly clock: Clock,
    private readonly control: ProcessControl,
    private readonly drawLateWriteDelayMs: DrawLateWriteDelayMs,
  ) {}

  get(key: string, deadlineAtMs: number): Promise<KeyValueEntry | undefined> {
    return this.callWhileRunning(() => this.inner.get(key, deadlineAtMs));
  }

  list(
    prefix: string,
    deadlineAtMs: number,
  ): Promise<readonly KeyValueEntry[]> {
    return this.callWhileRunning(() => this.inner.list(prefix, deadlineAtMs));
  }

  put(request: PutRequest): Promise<PutResult> {
    const delayMs = this.drawLateWriteDelayMs();
    if (delayMs === undefined)
      return this.callWhileRunning(() => this.inner.put(request));
    return this.callWhileRunning(() => {
      void this.putAfterDelay(request, delayMs);
      return Promise.reject(
        new AnswerLostError('The answer to the write was lost.'),
      );
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

  private async putAfterDelay(
    request: PutRequest,
    delayMs: number,
  ): Promise<void> {
    await this.clock.waitUntil(this.clock.nowMs() + delayMs);
    await this.inner.put(request).catch(ignoreFailure);
  }

  private async callWhileRunning<T>(call: () => Promise<T>): Promise<T> {
    await this.control.waitUntilRunning();
    try {
      return await call();
    } finally {
      await this.control.waitUntilRunning();
    }
  }
}

function never<T>(): Promise<T> {
  return new Promise(ignoreFailure);
}

function ignoreFailure(): void {
  // The caller has already been rejected, so the result is not used.
}
