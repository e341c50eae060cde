/** Reason why a stream ended before the answer was complete. */
export enum StreamFailure {
  /** No progress was made before the stall deadline, or a gap was not filled. */
  Stalled = 'silent',
  /** The connection or the engine failed. */
  Broken = 'broken',
  /** The engine does not have the stream, or is unreachable. */
  Lost = 'lost',
  /** The engine rejected new work. */
  Refused = 'refused',
  /** The engine's instance is about to be reclaimed. */
  Reclaimed = 'reclaimed',
}

/** Way to continue an answer after its attempt was interrupted. */
export enum RecoveryAction {
  /** Resume the same stream on a new connection. */
  Resume = 'resume',
  /** Copy the KV cache to another endpoint, then continue generation there after the text sent. */
  MoveCache = 'moveCache',
  /** Generate at another endpoint from the prompt and the text sent. */
  Regenerate = 'regenerate',
}

/** Timeouts and limits of a stream and its recovery; durations are in milliseconds. */
export interface StreamPolicy {
  /** Maximum time without progress before the first token. */
  readonly firstTokenTimeoutMs: number;
  /** Maximum time without progress between tokens. */
  readonly stallTimeoutMs: number;
  /** Maximum number of consecutive connections without progress at one endpoint. */
  readonly maxResumes: number;
  /** Maximum time for copying a KV cache. */
  readonly cacheMoveTimeoutMs: number;
  /** Minimum time left before a reclaim for copying a KV cache to be attempted. */
  readonly minCacheMoveMs: number;
  /** Time before a reclaim by which work must have left the instance. */
  readonly reclaimMarginMs: number;
  /** Maximum wait for an endpoint that can continue an accepted request. */
  readonly endpointWaitMs: number;
  /** Interval between two attempts to choose such an endpoint. */
  readonly endpointRetryMs: number;
}

export const DEFAULT_STREAM_POLICY: StreamPolicy = {
  firstTokenTimeoutMs: 4_000,
  stallTimeoutMs: 1_500,
  maxResumes: 2,
  cacheMoveTimeoutMs: 1_000,
  minCacheMoveMs: 200,
  reclaimMarginMs: 250,
  endpointWaitMs: 15_000,
  endpointRetryMs: 100,
};

/** State of an interrupted stream, as input of the choice of a recovery action. */
export interface StreamInterruption {
  readonly failure: StreamFailure;
  /** Number of resumes at this endpoint since the last progress. */
  readonly resumeCount: number;
  /** Time from which the endpoint's instance may be reclaimed, if a notice is in force. */
  readonly reclaimAtMs: number | undefined;
  readonly nowMs: number;
}

/** Chooses the cheapest recovery action that the interruption allows. */
export function chooseRecovery(
  interruption: StreamInterruption,
  policy: StreamPolicy,
): RecoveryAction {
  const {
    failure,
    nowMs,
    reclaimAtMs,
    resumeCount: resumesDone,
  } = interruption;
  if (failure === StreamFailure.Reclaimed) {
    const hasTimeToMoveCache =
      reclaimAtMs !== undefined && reclaimAtMs - nowMs >= policy.minCacheMoveMs;
    return hasTimeToMoveCache
      ? RecoveryAction.MoveCache
      : RecoveryAction.Regenerate;
  }
  const canResume =
    failure === StreamFailure.Stalled || failure === StreamFailure.Broken;
  return canResume && resumesDone < policy.maxResumes
    ? RecoveryAction.Resume
    : RecoveryAction.Regenerate;
}

/**
 * Returns whether a stream must leave its endpoint, because the instance is
 * reclaimed before the answer would be complete at the token rate so far.
 */
export function mustLeaveEndpoint(
  progress: {
    readonly tokensLeft: number;
    readonly msPerToken: number;
    readonly nowMs: number;
  },
  reclaimAtMs: number | undefined,
  policy: StreamPolicy,
): boolean {
  if (reclaimAtMs === undefined) return false;
  const { msPerToken, nowMs, tokensLeft } = progress;
  const estimatedEndAtMs = nowMs + tokensLeft * msPerToken;
  return estimatedEndAtMs > reclaimAtMs - policy.reclaimMarginMs;
}
