import type { Clock } from '../ports/index.js';
import type { RetryBudget } from '../routing/index.js';
import type { AttemptOutcome } from './attempt-outcome.js';
import { AttemptEndKind } from './attempt-outcome.js';
import type { CrashGuard } from './crash-guard.js';
import type { DispatchWindow } from './dispatch-window.js';
import type { EndpointChoice } from './endpoint-choice.js';
import type { PoolReservation } from './pool-reservation.js';
import type { RetryState } from './retry-obstacle.js';
import { findRetryObstacle, RetryObstacle } from './retry-obstacle.js';

export interface AttemptSequenceOptions {
  readonly clock: Clock;
  readonly crashGuard: CrashGuard;
  readonly dispatchWindow: DispatchWindow;
  readonly budget: RetryBudget;
  readonly endpoints: EndpointChoice;
  /** Ids of what may be at fault if an endpoint crashes. */
  readonly suspectIds: readonly string[];
  /** Aborted once the request has ended. */
  readonly signal: AbortSignal;
  readonly deadlineAtMs: number;
  readonly isRepeatable: boolean;
  readonly maxAttempts: number;
}

/** Number of unreachable endpoints after which the request fails. */
const MAX_UNSENT_ATTEMPTS = 3;
/** Minimum time before the deadline for which another attempt is worth its cost. */
const MIN_TIME_FOR_ATTEMPT_MS = 20;

/** Decides which attempt of one request follows another, and reserves its endpoint. */
export class AttemptSequence {
  /** Number of attempts that reached their endpoint; unsent and misdirected ones do not count. */
  attempts = 0;
  /** What kept the request from another attempt; undefined while none is missing. */
  obstacle: RetryObstacle | undefined;
  private unsentAttempts = 0;
  /** Endpoint that takes over from the one of the current attempt, which is silent. */
  private replacement: PoolReservation | undefined;

  constructor(private readonly options: AttemptSequenceOptions) {}

  /** Reserves the endpoint of the first attempt. */
  first(): PoolReservation | undefined {
    return this.reserveAny();
  }

  /** Reserves the endpoint of the attempt that follows another; returns undefined if none does. */
  next(last: AttemptOutcome): PoolReservation | undefined {
    if (last.kind === AttemptEndKind.Silent && this.replacement !== undefined) {
      const { replacement } = this;
      this.replacement = undefined;
      return replacement;
    }
    this.obstacle = this.acquireRetry(last);
    return this.obstacle === undefined
      ? this.reserveAny()
      : this.tryReturn(last);
  }

  recordDispatch(id: string): void {
    this.attempts += 1;
    this.options.endpoints.recordDispatch(id);
  }

  /** Records an endpoint to which a peer has sent the request. */
  recordRelayed(id: string): void {
    this.options.endpoints.recordRelayed(id);
  }

  /** Ids of the endpoints and peers that were tried. */
  get triedIds(): readonly string[] {
    return this.options.endpoints.triedIds;
  }

  recordEnd(id: string, kind: AttemptEndKind): void {
    this.options.endpoints.recordEnd(id, kind);
    if (kind === AttemptEndKind.NotSent) this.unsentAttempts += 1;
    if (kind === AttemptEndKind.NotSent || kind === AttemptEndKind.Misdirected)
      this.attempts -= 1;
  }

  /** Reserves an endpoint that takes over from a silent one; returns false if the request must wait on. */
  tryReserveReplacement(): boolean {
    const { budget, clock, endpoints } = this.options;
    const silence = { kind: AttemptEndKind.Silent };
    if (findRetryObstacle(silence, this.state()) !== undefined) return false;
    if (!budget.isAvailable) return false;
    this.replacement = endpoints.reserveUntried(clock.nowMs());
    return this.replacement !== undefined && budget.tryAcquire();
  }

  /** Gives back what is reserved for an attempt that does not follow. */
  close(): void {
    this.replacement?.release(undefined, this.options.clock.nowMs());
  }

  private reserveAny(): PoolReservation | undefined {
    const { clock, endpoints } = this.options;
    const reservation = endpoints.reserve(clock.nowMs());
    if (reservation === undefined) this.obstacle = RetryObstacle.NoEndpoint;
    return reservation;
  }

  /**
   * Reserves the endpoint that was left as it was silent, for a request that the
   * next one failed or refused or that reached no other: the limit of attempts is
   * one of endpoints.
   */
  private tryReturn(last: AttemptOutcome): PoolReservation | undefined {
    const { budget, clock, endpoints } = this.options;
    const hasFailed =
      last.kind !== AttemptEndKind.Silent &&
      this.obstacle === RetryObstacle.AttemptsUsed;
    if (!hasFailed && this.obstacle !== RetryObstacle.Unreachable)
      return undefined;
    if (!budget.isAvailable) return undefined;
    const reservation = endpoints.reserveLeft(clock.nowMs());
    if (reservation === undefined) return undefined;
    budget.tryAcquire();
    this.obstacle = undefined;
    return reservation;
  }

  /** Returns what keeps the request from another attempt; if nothing does, one retry is taken from the budget. */
  private acquireRetry(result: AttemptOutcome): RetryObstacle | undefined {
    const obstacle = findRetryObstacle(result, this.state());
    if (obstacle !== undefined) return obstacle;
    if (result.kind === AttemptEndKind.NotSent) return undefined;
    return this.options.budget.tryAcquire()
      ? undefined
      : RetryObstacle.BudgetSpent;
  }

  private state(): RetryState {
    const { clock, crashGuard, deadlineAtMs, dispatchWindow } = this.options;
    const { isRepeatable, maxAttempts, signal, suspectIds } = this.options;
    const remainingMs = deadlineAtMs - clock.nowMs();
    return {
      hasEnded: signal.aborted,
      isStopping: !isRepeatable && !dispatchWindow.isOpenUntil(deadlineAtMs),
      isDeadlineNear: remainingMs < MIN_TIME_FOR_ATTEMPT_MS,
      isBlocked: crashGuard.blockedForMs(suspectIds) !== undefined,
      isRepeatable,
      hasAttemptsLeft: this.attempts < maxAttempts,
      hasUnsentAttemptsLeft: this.unsentAttempts < MAX_UNSENT_ATTEMPTS,
    };
  }
}
