import type { AttemptOutcome } from './attempt-outcome.js';
import { AttemptEndKind, isEndpointError } from './attempt-outcome.js';

/** Why no further attempt of a request follows; the values are log texts. */
export enum RetryObstacle {
  /** The attempt's response is the one to forward. */
  Answered = 'answered',
  /** The request itself has ended. */
  Cancelled = 'cancelled',
  DeadlineNear = 'deadlineNear',
  /** The request is suspected of crashing endpoints. */
  Blocked = 'blocked',
  /** The request may have run and must not run twice. */
  NotRepeatable = 'notRepeatable',
  AttemptsUsed = 'attemptsUsed',
  /** Too many endpoints could not be reached. */
  Unreachable = 'unreachable',
  /** The request must not be repeated and may last beyond the end of this stopping daemon. */
  Stopping = 'stopping',
  BudgetSpent = 'budgetSpent',
  NoEndpoint = 'noEndpoint',
}

/** What a request still allows after an attempt. */
export interface RetryState {
  readonly hasEnded: boolean;
  /** Whether another attempt may last beyond the end of this stopping daemon and must not be cut then. */
  readonly isStopping: boolean;
  readonly isDeadlineNear: boolean;
  readonly isBlocked: boolean;
  readonly isRepeatable: boolean;
  readonly hasAttemptsLeft: boolean;
  /** Whether the request may run on another endpoint; attempts that were refused do not count. */
  readonly hasRunsLeft: boolean;
  readonly hasUnsentAttemptsLeft: boolean;
}

/** Returns what keeps a request from another attempt, apart from the retry budget and the choice of an endpoint. */
export function findRetryObstacle(
  { kind, response }: Pick<AttemptOutcome, 'kind' | 'response'>,
  state: RetryState,
): RetryObstacle | undefined {
  if (kind === AttemptEndKind.Answered && !isEndpointError(response))
    return RetryObstacle.Answered;
  if (kind === AttemptEndKind.Cancelled || state.hasEnded)
    return RetryObstacle.Cancelled;
  if (state.isDeadlineNear) return RetryObstacle.DeadlineNear;
  if (state.isBlocked) return RetryObstacle.Blocked;
  const isUnsent = kind === AttemptEndKind.NotSent;
  const isNotRun =
    isUnsent ||
    kind === AttemptEndKind.Misdirected ||
    kind === AttemptEndKind.NotRun;
  if (!isNotRun && !state.isRepeatable) return RetryObstacle.NotRepeatable;
  if (state.isStopping) return RetryObstacle.Stopping;
  // The way back to an endpoint may not be reached either.
  if (isUnsent && !state.hasRunsLeft) return RetryObstacle.AttemptsUsed;
  if (isUnsent)
    return state.hasUnsentAttemptsLeft ? undefined : RetryObstacle.Unreachable;
  return state.hasAttemptsLeft ? undefined : RetryObstacle.AttemptsUsed;
}
