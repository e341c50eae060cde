import type { Address, Clock, Priority } from '../ports/index.js';
import { PlatformError } from '../ports/index.js';
import type { HedgePolicy, RetryPolicy } from '../routing/index.js';
import { RetryAction } from '../routing/index.js';

/** Call that may run more than once. */
export interface RepeatableCall<Response> {
  readonly priority: Priority;
  readonly deadlineAtMs: number;
  /**
   * Sends the call on a new connection to an endpoint that is not in `triedAddresses`,
   * and adds that endpoint to the set before its first `await`. Throws `PlatformError`.
   */
  readonly attempt: (
    triedAddresses: Set<Address>,
    signal: AbortSignal,
  ) => Promise<Response>;
}

/** Dispatches repeatable calls: retries within a budget, hedges slow look-ups and cancels the attempt that is not needed. */
export class RepeatableDispatcher {
  constructor(
    private readonly clock: Clock,
    private readonly retryPolicy: RetryPolicy,
    private readonly hedgePolicy: HedgePolicy,
  ) {}

  /** Returns the first response. Throws the `PlatformError` of the last attempt once the policy allows no further retry. */
  async run<Response>(
    call: RepeatableCall<Response>,
    signal: AbortSignal,
  ): Promise<Response> {
    this.retryPolicy.recordFirstAttempt();
    const triedAddresses = new Set<Address>();
    for (let attempts = 1; ; attempts += 1) {
      try {
        return await this.runHedged(call, triedAddresses, signal);
      } catch (error) {
        if (!(error instanceof PlatformError) || signal.aborted) throw error;
        const { deadlineAtMs } = call;
        const failedAttempt = { mayRepeat: true, attempts, deadlineAtMs };
        const decision = this.retryPolicy.decide(
          failedAttempt,
          this.clock.nowMs(),
        );
        if (decision.action === RetryAction.GiveUp) throw error;
        await this.clock.waitUntil(decision.retryAtMs, signal);
      }
    }
  }

  /** Makes one attempt, with a hedge if it is slow. The first response cancels the other attempt. */
  private async runHedged<Response>(
    call: RepeatableCall<Response>,
    triedAddresses: Set<Address>,
    signal: AbortSignal,
  ): Promise<Response> {
    const startedAtMs = this.clock.nowMs();
    const attemptsController = new AbortController();
    const attemptSignal = AbortSignal.any([signal, attemptsController.signal]);
    const first = call.attempt(triedAddresses, attemptSignal);
    const attempts = [first];
    const hedge = this.startHedge(call, triedAddresses, first, attemptSignal);
    if (hedge !== undefined) attempts.push(hedge);
    try {
      const response = await firstResponse(attempts);
      this.hedgePolicy.recordLatency(this.clock.nowMs() - startedAtMs);
      return response;
    } finally {
      attemptsController.abort(
        new HedgeNotNeededError(
          'The call has ended; this attempt is no longer needed.',
        ),
      );
    }
  }

  /** Sends a hedge after its delay, unless the first attempt fails before. Returns undefined if the call is not hedged. */
  private startHedge<Response>(
    call: RepeatableCall<Response>,
    triedAddresses: Set<Address>,
    first: Promise<Response>,
    signal: AbortSignal,
  ): Promise<Response> | undefined {
    const { deadlineAtMs, priority } = call;
    const hedgeCandidate = { mayRepeat: true, priority, deadlineAtMs };
    const hedgeAtMs = this.hedgePolicy.hedgeAtMs(
      hedgeCandidate,
      this.clock.nowMs(),
    );
    if (hedgeAtMs === undefined) return undefined;
    const firstFailed = new AbortController();
    first.catch((error: unknown) => {
      firstFailed.abort(error);
    });
    const waitSignal = AbortSignal.any([signal, firstFailed.signal]);
    return this.clock.waitUntil(hedgeAtMs, waitSignal).then(() => {
      if (!this.hedgePolicy.tryAcquire()) {
        throw new HedgeNotNeededError(
          'The retry budget is exhausted; no hedge is sent.',
        );
      }
      return call.attempt(triedAddresses, signal);
    });
  }
}

/** Reason for not sending a hedge, or for cancelling an attempt that is no longer needed. */
class HedgeNotNeededError extends Error {
  override readonly name = 'HedgeNotNeededError';
}

/** Returns the first response; if all attempts fail, throws the error of the first one. */
async function firstResponse<Response>(
  attempts: readonly Promise<Response>[],
): Promise<Response> {
  try {
    return await Promise.any(attempts);
  } catch (error) {
    if (!(error instanceof AggregateError)) throw error;
    throw error.errors[0];
  }
}
