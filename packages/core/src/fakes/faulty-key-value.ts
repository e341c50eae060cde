import type {
  Clock,
  KeyValueEntry,
  KeyValueStore,
  Lease,
  LeaseRequest,
  PutRequest,
  PutResult,
  WatchRequest,
  WatchResult,
} from '../ports/index.js';
import { AnswerLostError, KeyValueUnavailableError } from '../ports/index.js';

/** Fault injected into one call of a test double. */
export enum Fault {
  None = 'none',
  /** The call fails before it takes effect, and the caller knows. */
  Down = 'down',
  /** The call takes effect and its response is lost. */
  AnswerLost = 'answerLost',
  /** The request is lost before the call takes effect; to the caller it looks like `AnswerLost`. */
  CallLost = 'callLost',
  /** The call takes effect after `delayMs`. */
  Slow = 'slow',
  /** The connection hangs: the call has no effect and fails at its deadline. */
  Silent = 'silent',
}

/** Returns the fault of each call, by the name of its operation. */
export type FaultPlan = (operation: string) => Fault;

/** Decorator of a key-value service that injects the faults of its plan. */
export class FaultyKeyValue implements KeyValueStore {
  callCount = 0;

  constructor(
    private readonly inner: KeyValueStore,
    private readonly clock: Clock,
    private readonly plan: FaultPlan,
    private readonly delayMs = 50,
  ) {}

  get(key: string, deadlineAtMs: number): Promise<KeyValueEntry | undefined> {
    return this.runWithFault('get', deadlineAtMs, () =>
      this.inner.get(key, deadlineAtMs),
    );
  }

  list(
    prefix: string,
    deadlineAtMs: number,
  ): Promise<readonly KeyValueEntry[]> {
    return this.runWithFault('list', deadlineAtMs, () =>
      this.inner.list(prefix, deadlineAtMs),
    );
  }

  put(request: PutRequest): Promise<PutResult> {
    return this.runWithFault('put', request.deadlineAtMs, () =>
      this.inner.put(request),
    );
  }

  watch(request: WatchRequest): Promise<WatchResult> {
    return this.runWithFault('watch', request.deadlineAtMs, () =>
      this.inner.watch(request),
    );
  }

  acquireLease(request: LeaseRequest): Promise<Lease | undefined> {
    return this.runWithFault('acquireLease', request.deadlineAtMs, () =>
      this.inner.acquireLease(request),
    );
  }

  releaseLease(lease: Lease, deadlineAtMs: number): Promise<void> {
    return this.runWithFault('releaseLease', deadlineAtMs, () =>
      this.inner.releaseLease(lease, deadlineAtMs),
    );
  }

  private async runWithFault<T>(
    operation: string,
    deadlineAtMs: number,
    call: () => Promise<T>,
  ): Promise<T> {
    this.callCount += 1;
    switch (this.plan(operation)) {
      case Fault.None:
        return call();
      case Fault.Down:
        throw new KeyValueUnavailableError(
          'The key-value service is unavailable; retry later.',
        );
      case Fault.AnswerLost:
        await call();
        throw createAnswerLostError();
      case Fault.CallLost:
        throw createAnswerLostError();
      case Fault.Slow:
        await this.clock.waitUntil(this.clock.nowMs() + this.delayMs);
        return call();
      case Fault.Silent:
        await this.clock.waitUntil(deadlineAtMs);
        throw createAnswerLostError();
    }
  }
}

function createAnswerLostError(): AnswerLostError {
  return new AnswerLostError(
    'The response of the key-value service was lost; read the value back.',
  );
}
