import type { Clock } from '../ports/index.js';
import type { RetryAllowance } from '../routing/index.js';
import type { AttemptHistory } from './attempt-history.js';
import { countAttempts, countEnds, countRuns } from './attempt-history.js';
import type { AttemptOutcome } from './attempt-outcome.js';
import { AttemptEndKind } from './attempt-outcome.js';
import type { CrashGuard } from './crash-guard.js';
import type { GatePass } from './dispatch-gate.js';
import type { DispatchWindow } from './dispatch-window.js';
import type { EndpointChoice } from './endpoint-choice.js';
import type { PoolReservation } from './pool-reservation.js';
import type { RetryState } from './retry-obstacle.js';
import { findRetryObstacle, RetryObstacle } from './retry-obstacle.js';
import type { TokenCharge } from './run-context.js';
import { unlessAborted } from './unless-aborted.js';

export interface AttemptSequenceOptions {
  readonly attempts: AttemptHistory;
  readonly clock: Clock;
  readonly crashGuard: CrashGuard;
  readonly dispatchWindow: DispatchWindow;
  readonly budget: RetryAllowance;
  readonly endpoints: EndpointChoice;
  /** Ids of what may be at fault if an endpoint crashes. */
  readonly suspectIds: readonly string[];
  /** Aborted once the request has ended. */
  readonly signal: AbortSignal;
  readonly deadlineAtMs: number;
  readonly isRepeatable: boolean;
  readonly maxAttempts: number;
  readonly isStream: boolean;
  /** Whether the response has begun, so that it may wait for its next attempt. */
  readonly mayWait: () => boolean;
  /** Tokens of a request that waits for capacity. */
  readonly tokenCharge?: TokenCharge | undefined;
  /** Resolves with whether the endpoint of the last attempt has ended or is cut off. */
  readonly isLastEndpointGone: () => Promise<boolean>;
}

/** Number of unreachable endpoints after which the request fails. */
const MAX_UNSENT_ATTEMPTS = 3;
/** Number of endpoints that do not count as they are gone; a request that crashes its endpoints ends more of them by each. */
const MAX_GONE_ENDPOINTS = 1;
/** Minimum time before the deadline for which another attempt is worth its cost. */
const MIN_TIME_FOR_ATTEMPT_MS = 20;
/** Interval at which a response that has begun looks for an endpoint again. */
const RECHECK_INTERVAL_MS = 200; // a fraction of the pauses that callers bear

/** What may pass while a response that has begun waits. */
const PASSING_OBSTACLES: ReadonlySet<RetryObstacle> = new Set([
  RetryObstacle.AttemptsUsed,
  RetryObstacle.BudgetSpent,
  RetryObstacle.DeadlineNear,
  RetryObstacle.NoEndpoint,
  RetryObstacle.Unreachable,
]);

/** Decides which attempt of one request follows another, and reserves its endpoint. */
export class AttemptSequence {
  /** What kept the request from another attempt; undefined while none is missing. */
  obstacle: RetryObstacle | undefined;
  /** Endpoint that takes over from the one of the current attempt, which is silent. */
  private replacement: PoolReservation | undefined;
  /** Returns after a pause to endpoints that had failed the request. */
  private pausedReturns = 0;

  constructor(private readonly options: AttemptSequenceOptions) {}

  /** Number of attempts that count: not those that were unsent, misdirected or lost with an endpoint that is gone. */
  get attempts(): number {
    return countAttempts(this.options.attempts.all);
  }

  /** Ids of the endpoints and peers that were tried. */
  get triedIds(): readonly string[] {
    return this.options.endpoints.triedIds;
  }

  /** Reserves the endpoint of the first attempt. */
  first(): PoolReservation | undefined {
    const { clock, endpoints } = this.options;
    const reservation = endpoints.reserve(clock.nowMs());
    if (reservation === undefined) this.obstacle = RetryObstacle.NoEndpoint;
    return reservation;
  }

  /**
   * Reserves the endpoint of the first attempt once the request may be sent, and
   * counts the attempt and its tokens then. Throws `ForwardError` if it is refused.
   */
  async firstWithin(pass: GatePass): Promise<PoolReservation | undefined> {
    const { budget, clock, endpoints, signal } = this.options;
    // A daemon that reaches no endpoint knows nothing of their capacity.
    const reservation = endpoints.isCutOff()
      ? this.reserveCharged(clock.nowMs())
      : await pass.reserve(nowMs => this.reserveCharged(nowMs), signal);
    if (reservation === undefined || signal.aborted) {
      reservation?.release(undefined, clock.nowMs());
      this.obstacle = RetryObstacle.NoEndpoint;
      return undefined;
    }
    budget.recordFirstAttempt();
    return reservation;
  }

  /**
   * Reserves an endpoint and deducts the tokens in the same turn. The tokens are
   * checked first: a reservation counts against the endpoint's own rate limit and
   * its share while it is cold, also if it is released unused.
   */
  private reserveCharged(nowMs: number): PoolReservation | undefined {
    const { endpoints, tokenCharge } = this.options;
    tokenCharge?.check();
    const reservation = endpoints.reserve(nowMs);
    if (reservation !== undefined) tokenCharge?.take();
    return reservation;
  }

  /**
   * Reserves the endpoint of the attempt that follows another; resolves with
   * undefined if none does. A response that has begun may wait until one can: its
   * caller would lose what it has received, whereas others get an error and may
   * send their request again.
   */
  async next(last: AttemptOutcome): Promise<PoolReservation | undefined> {
    const { replacement } = this;
    const isSilent = last.kind === AttemptEndKind.Silent;
    const isFlooding = isSilent && replacement === undefined;
    if (isSilent && replacement !== undefined) {
      this.replacement = undefined;
      const nowMs = this.options.clock.nowMs();
      if (this.options.endpoints.isStillReady(replacement, nowMs))
        return replacement;
      replacement.release(undefined, nowMs);
    }
    const { attempts, clock, mayWait } = this.options;
    if (mayWait() && (await this.isLostWithEndpoint(last)))
      attempts.recordGone();
    const returnAtMs =
      clock.nowMs() + RECHECK_INTERVAL_MS * 2 ** this.pausedReturns;
    let reservation = this.tryNext(last);
    while (reservation === undefined && mayWait() && this.mayPass(isFlooding)) {
      await this.wait();
      reservation = this.tryNext(last) ?? this.tryAgain(last, returnAtMs);
    }
    return reservation;
  }

  /** Reserves an endpoint that takes over from a silent one; returns false if the request must wait on. */
  tryReserveReplacement(): boolean {
    const { budget, clock, endpoints, isStream } = this.options;
    const silence = { kind: AttemptEndKind.Silent };
    const obstacle = findRetryObstacle(silence, this.state());
    const isReturn = isStream && obstacle === RetryObstacle.AttemptsUsed;
    if (obstacle !== undefined && !isReturn) return false;
    if (!budget.isAvailable) return false;
    const nowMs = clock.nowMs();
    this.replacement = isReturn
      ? endpoints.reserveLeftOnce(nowMs)
      : endpoints.reserveReplacement(nowMs);
    return this.replacement !== undefined && budget.tryAcquire();
  }

  /** Gives back what is reserved for an attempt that does not follow. */
  close(): void {
    this.replacement?.release(undefined, this.options.clock.nowMs());
  }

  /** Whether the last attempt is not to count: the limit is one of endpoints that may still run the request. */
  private async isLostWithEndpoint(last: AttemptOutcome): Promise<boolean> {
    const { attempts, isLastEndpointGone, signal } = this.options;
    const isLost =
      last.kind === AttemptEndKind.Failed ||
      last.kind === AttemptEndKind.NotSent;
    const obstacle = findRetryObstacle(last, this.state());
    return (
      isLost &&
      obstacle === RetryObstacle.AttemptsUsed &&
      attempts.goneIds().size < MAX_GONE_ENDPOINTS &&
      (await unlessAborted(isLastEndpointGone(), signal)) === true
    );
  }

  private tryNext(last: AttemptOutcome): PoolReservation | undefined {
    const { clock, endpoints } = this.options;
    this.obstacle = findRetryObstacle(last, this.state());
    if (this.obstacle === undefined)
      return this.tryReserve(last, nowMs => endpoints.reserve(nowMs));
    // Beyond its limit of attempts, a request that is refused pauses before each further one.
    const isRefused = last.kind === AttemptEndKind.NotRun;
    if (isRefused && !endpoints.hasFirstReturn(clock.nowMs())) {
      if (this.options.attempts.recent.length > 0) return undefined;
      if (this.mayRunElsewhere())
        return this.tryReserve(last, nowMs => endpoints.reserve(nowMs));
    }
    return this.mayReturn(last)
      ? this.tryReserve(last, nowMs => endpoints.reserveLeft(nowMs))
      : undefined;
  }

  /** Whether a request whose attempts are used may run on another endpoint, as some have refused it. */
  private mayRunElsewhere(): boolean {
    const isUsed = this.obstacle === RetryObstacle.AttemptsUsed;
    return isUsed && this.state().hasRunsLeft;
  }

  /**
   * Whether the request may go back to an endpoint that was left as it was silent or
   * that broke off, as the next one failed or refused it or no other was reached:
   * the limit of attempts is one of endpoints.
   */
  private mayReturn({ kind }: AttemptOutcome): boolean {
    const { clock, endpoints } = this.options;
    const hasFailed =
      kind !== AttemptEndKind.Silent &&
      this.obstacle === RetryObstacle.AttemptsUsed;
    if (!hasFailed && this.obstacle !== RetryObstacle.Unreachable) return false;
    return endpoints.hasLeft(clock.nowMs());
  }

  /** Reserves an endpoint and takes one retry from the budget, unless the attempt before was not sent. */
  private tryReserve(
    { kind }: AttemptOutcome,
    reserve: (nowMs: number) => PoolReservation | undefined,
  ): PoolReservation | undefined {
    const { budget, clock } = this.options;
    const isFree = kind === AttemptEndKind.NotSent;
    if (!isFree && !budget.isAvailable) {
      this.obstacle = RetryObstacle.BudgetSpent;
      return undefined;
    }
    const reservation = reserve(clock.nowMs());
    const isFound = reservation !== undefined;
    this.obstacle = isFound ? undefined : RetryObstacle.NoEndpoint;
    if (isFound && !isFree) budget.tryAcquire();
    return reservation;
  }

  /**
   * Goes back to an endpoint where a response that has begun has used its attempts: the
   * limit is one of endpoints, and one that failed may recover. The pauses double, so
   * that a request which fails everywhere costs few attempts.
   */
  private tryAgain(
    last: AttemptOutcome,
    returnAtMs: number,
  ): PoolReservation | undefined {
    const { clock, endpoints } = this.options;
    const isUsed = this.obstacle === RetryObstacle.AttemptsUsed;
    if (!isUsed || clock.nowMs() < returnAtMs) return undefined;
    const reservation = this.tryReserve(last, nowMs =>
      endpoints.reserveRunBefore(nowMs),
    );
    const hasRun = last.kind === AttemptEndKind.Failed;
    if (reservation !== undefined && hasRun) this.pausedReturns += 1;
    return reservation;
  }

  /**
   * Whether what keeps the request from another attempt may pass before its deadline.
   * An endpoint that was left for sending bytes without events gets no further attempts.
   */
  private mayPass(isFlooding: boolean): boolean {
    if (isFlooding && this.obstacle === RetryObstacle.AttemptsUsed)
      return false;
    return this.obstacle !== undefined && PASSING_OBSTACLES.has(this.obstacle);
  }

  private async wait(): Promise<void> {
    const { attempts, clock, deadlineAtMs, signal } = this.options;
    const checkAtMs = clock.nowMs() + RECHECK_INTERVAL_MS;
    // The request ends a poll after its deadline.
    const untilMs = checkAtMs < deadlineAtMs ? checkAtMs : Infinity;
    await clock.waitUntil(untilMs, signal).catch(() => undefined); // the request has ended
    attempts.recordWait();
  }

  private state(): RetryState {
    const { attempts, clock, crashGuard, deadlineAtMs } = this.options;
    const { dispatchWindow, isRepeatable, maxAttempts } = this.options;
    const { endpoints, mayWait, signal, suspectIds } = this.options;
    const nowMs = clock.nowMs();
    const remainingMs = deadlineAtMs - nowMs;
    if (endpoints.isCutOff()) attempts.recordCutOff();
    // An endpoint that accepts no requests cannot get back a response that has begun.
    const counted = mayWait() ? endpoints.openAttempts(nowMs) : attempts.all;
    return {
      hasEnded: signal.aborted,
      isStopping: !isRepeatable && !dispatchWindow.isOpenUntil(deadlineAtMs),
      isDeadlineNear: remainingMs < MIN_TIME_FOR_ATTEMPT_MS,
      isBlocked: crashGuard.blockedForMs(suspectIds) !== undefined,
      isRepeatable,
      hasAttemptsLeft: countAttempts(counted) < maxAttempts,
      hasRunsLeft: countRuns(counted) < maxAttempts,
      hasUnsentAttemptsLeft: this.hasUnsentAttemptsLeft(),
    };
  }

  /** Each wait allows one attempt more, or as many as were left before it. */
  private hasUnsentAttemptsLeft(): boolean {
    const { all, recent } = this.options.attempts;
    const unsent = countEnds(recent, AttemptEndKind.NotSent);
    const unsentBefore = countEnds(all, AttemptEndKind.NotSent) - unsent;
    return unsent < Math.max(1, MAX_UNSENT_ATTEMPTS - unsentBefore);
  }
}
