import type { Address, Clock, Priority } from '../ports/index.js';
import { PlatformError } from '../ports/index.js';
import type { HedgePolicy, RetryPolicy } from '../routing/index.js';
import { RetryAction } from '../routing/index.js';

/** A call that may run more than once. */
export interface RepeatableCall<Response> {
  readonly priority: Priority;
  readonly deadlineAtMs: number;
  /**
   * Sends the call on a new connection to an endpoint outside `tried`, and adds
   * that endpoint to `tried` before it first waits. Throws `PlatformError`.
   */
  readonly attempt: (
    tried: Set<Address>,
    signal: AbortSignal,
  ) => Promise<Response>;
}

/** Dispatches repeatable calls: retries under a budget, hedges slow look-ups, cancels the loser. */
export class RepeatableDispatch {
  constructor(
    private readonly clock: Clock,
    private readonly retries: RetryPolicy,
    private readonly hedges: HedgePolicy,
  ) {}

  /** The first answer. Throws the last attempt's `PlatformError` as soon as no retry follows. */
  async run<Response>(
    call: RepeatableCall<Response>,
    signal: AbortSignal,
  ): Promise<Response> {
    this.retries.recordFirstAttempt();
    const tried = new Set<Address>();
    for (let attempts = 1; ; attempts += 1) {
      try {
        return await this.runHedged(call, tried, signal);
      } catch (error) {
        if (!(error instanceof PlatformError) || signal.aborted) throw error;
        const { deadlineAtMs } = call;
        const failed = { mayRepeat: true, attempts, deadlineAtMs };
        const decision = this.retries.decide(failed, this.clock.nowMs());
        if (decision.action === RetryAction.GiveUp) throw error;
        await this.clock.waitUntil(decision.retryAtMs, signal);
      }
    }
  }

  /** One attempt, joined by a second one where it is slow; the first answer cancels the other. */
  private async runHedged<Response>(
    call: RepeatableCall<Response>,
    tried: Set<Address>,
    signal: AbortSignal,
  ): Promise<Response> {
    const startedAtMs = this.clock.nowMs();
    const stop = new AbortController();
    const attemptSignal = AbortSignal.any([signal, stop.signal]);
    const first = call.attempt(tried, attemptSignal);
    const attempts = [first];
    const hedge = this.hedge(call, tried, first, attemptSignal);
    if (hedge !== undefined) attempts.push(hedge);
    try {
      const response = await firstAnswer(attempts);
      this.hedges.recordLatency(this.clock.nowMs() - startedAtMs);
      return response;
    } finally {
      stop.abort(new HedgeNotNeededError('The call has ended; nothing to do.'));
    }
  }

  /** Waits for the hedge's time and sends it; a first attempt that fails earlier ends the wait. */
  private hedge<Response>(
    call: RepeatableCall<Response>,
    tried: Set<Address>,
    first: Promise<Response>,
    signal: AbortSignal,
  ): Promise<Response> | undefined {
    const { deadlineAtMs, priority } = call;
    const candidate = { mayRepeat: true, priority, deadlineAtMs };
    const hedgeAtMs = this.hedges.hedgeAtMs(candidate, this.clock.nowMs());
    if (hedgeAtMs === undefined) return undefined;
    const firstFailed = new AbortController();
    first.catch((error: unknown) => {
      firstFailed.abort(error);
    });
    const waitSignal = AbortSignal.any([signal, firstFailed.signal]);
    return this.clock.waitUntil(hedgeAtMs, waitSignal).then(() => {
      if (!this.hedges.tryAcquire()) {
        throw new HedgeNotNeededError('The retry budget is spent; wait.');
      }
      return call.attempt(tried, signal);
    });
  }
}

/** A hedge that was not sent. */
class HedgeNotNeededError extends Error {
  override readonly name = 'HedgeNotNeededError';
}

/** The first answer; where all attempts fail, the first one's error. */
async function firstAnswer<Response>(
  attempts: readonly Promise<Response>[],
): Promise<Response> {
  try {
    return await Promise.any(attempts);
  } catch (error) {
    if (!(error instanceof AggregateError)) throw error;
    throw error.errors[0];
  }
}
