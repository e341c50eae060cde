import type { AttemptOutcome } from './forward-attempt.js';
import { AttemptEndKind, isEndpointError } from './forward-attempt.js';

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
  BudgetSpent = 'budgetSpent',
  NoEndpoint = 'noEndpoint',
}

/** What a request still allows after an attempt. */
export interface RetryState {
  readonly isDeadlineNear: boolean;
  readonly isBlocked: boolean;
  readonly isRepeatable: boolean;
  readonly hasAttemptsLeft: boolean;
  readonly hasUnsentAttemptsLeft: boolean;
}

/** Returns what keeps a request from another attempt, apart from the retry budget and the choice of an endpoint. */
export function findRetryObstacle(
  { kind, response }: Pick<AttemptOutcome, 'kind' | 'response'>,
  state: RetryState,
): RetryObstacle | undefined {
  if (kind === AttemptEndKind.Cancelled) return RetryObstacle.Cancelled;
  if (kind === AttemptEndKind.Answered && !isEndpointError(response))
    return RetryObstacle.Answered;
  if (state.isDeadlineNear) return RetryObstacle.DeadlineNear;
  if (state.isBlocked) return RetryObstacle.Blocked;
  if (kind === AttemptEndKind.NotSent) {
    return state.hasUnsentAttemptsLeft ? undefined : RetryObstacle.Unreachable;
  }
  const isNotRun =
    kind === AttemptEndKind.Misdirected || kind === AttemptEndKind.NotRun;
  if (!isNotRun && !state.isRepeatable) return RetryObstacle.NotRepeatable;
  return state.hasAttemptsLeft ? undefined : RetryObstacle.AttemptsUsed;
}
