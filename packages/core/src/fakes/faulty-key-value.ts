import type {
  Clock,
  KeyValue,
  KeyValueEntry,
  Lease,
  LeaseRequest,
  PutRequest,
  PutResult,
  WatchRequest,
  WatchResult,
} from '../ports/index.js';
import { AnswerLostError, KeyValueUnavailableError } from '../ports/index.js';

/** What happens to the next call of a faulty double. */
export enum Fault {
  None = 'none',
  /** The call is refused before it takes effect. */
  Down = 'down',
  /** The call takes effect and its answer is lost. */
  AnswerLost = 'answerLost',
  /** The call is lost before it takes effect; the caller cannot tell. */
  CallLost = 'callLost',
  /** The call takes effect after `delayMs`. */
  Slow = 'slow',
  /** The connection is silent: nothing comes back until the deadline. */
  Silent = 'silent',
}

/** Chooses the fault of each call. */
export type FaultPlan = (operation: string) => Fault;

/** Wraps a key-value service and injects the faults that its plan names. */
export class FaultyKeyValue implements KeyValue {
  calls = 0;

  constructor(
    private readonly inner: KeyValue,
    private readonly clock: Clock,
    private readonly plan: FaultPlan,
    private readonly delayMs = 50,
  ) {}

  get(key: string, deadlineAtMs: number): Promise<KeyValueEntry | undefined> {
    return this.apply('get', deadlineAtMs, () =>
      this.inner.get(key, deadlineAtMs),
    );
  }

  list(
    prefix: string,
    deadlineAtMs: number,
  ): Promise<readonly KeyValueEntry[]> {
    return this.apply('list', deadlineAtMs, () =>
      this.inner.list(prefix, deadlineAtMs),
    );
  }

  put(request: PutRequest): Promise<PutResult> {
    return this.apply('put', request.deadlineAtMs, () =>
      this.inner.put(request),
    );
  }

  watch(request: WatchRequest): Promise<WatchResult> {
    return this.apply('watch', request.deadlineAtMs, () =>
      this.inner.watch(request),
    );
  }

  acquireLease(request: LeaseRequest): Promise<Lease | undefined> {
    return this.apply('acquireLease', request.deadlineAtMs, () =>
      this.inner.acquireLease(request),
    );
  }

  releaseLease(lease: Lease, deadlineAtMs: number): Promise<void> {
    return this.apply('releaseLease', deadlineAtMs, () =>
      this.inner.releaseLease(lease, deadlineAtMs),
    );
  }

  private async apply<T>(
    operation: string,
    deadlineAtMs: number,
    call: () => Promise<T>,
  ): Promise<T> {
    this.calls += 1;
    switch (this.plan(operation)) {
      case Fault.None:
        return call();
      case Fault.Down:
        throw new KeyValueUnavailableError(
          'The key-value service is down; try again later.',
        );
      case Fault.AnswerLost:
        await call();
        throw lost();
      case Fault.CallLost:
        throw lost();
      case Fault.Slow:
        await this.clock.waitUntil(this.clock.nowMs() + this.delayMs);
        return call();
      case Fault.Silent:
        await this.clock.waitUntil(deadlineAtMs);
        throw lost();
    }
  }
}

function lost(): AnswerLostError {
  return new AnswerLostError(
    'The answer of the key-value service was lost; read the value back.',
  );
}
