/** Why following a stream came to an end before the answer was whole. */
export enum StreamFailure {
  /** No progress by the deadline of silence, or a gap that was not filled. */
  Silent = 'silent',
  /** The connection or the engine broke. */
  Broken = 'broken',
  /** The engine does not have the stream, or cannot be reached. */
  Lost = 'lost',
  /** The engine took no new work. */
  Refused = 'refused',
  /** The engine's instance is about to be reclaimed. */
  Reclaimed = 'reclaimed',
}

/** How an answer goes on after an attempt was interrupted. */
export enum SpliceAction {
  /** Follow the same stream on a new connection. */
  Resume = 'resume',
  /** Copy the KV cache to another endpoint, then generate there after the text sent. */
  MoveCache = 'moveCache',
  /** Generate elsewhere from the prompt and the text sent. */
  Regenerate = 'regenerate',
}

/** Durations that a followed stream is judged by, in milliseconds. */
export interface StreamPolicy {
  /** Longest time without progress before the first token. */
  readonly firstTokenTimeoutMs: number;
  /** Longest time without progress between tokens. */
  readonly silenceTimeoutMs: number;
  /** Connections tried one after another without progress at one endpoint. */
  readonly maxResumes: number;
  /** Longest time that copying a KV cache may take. */
  readonly cacheMoveTimeoutMs: number;
  /** Shortest time before a reclaim in which copying a KV cache is tried. */
  readonly minCacheMoveMs: number;
  /** Time before a reclaim at which work has to be off the instance. */
  readonly reclaimMarginMs: number;
  /** Longest wait for an endpoint that can go on with an accepted request. */
  readonly endpointWaitMs: number;
  /** Time between two looks for such an endpoint. */
  readonly endpointRetryMs: number;
}

export const DEFAULT_STREAM_POLICY: StreamPolicy = {
  firstTokenTimeoutMs: 4_000,
  silenceTimeoutMs: 1_500,
  maxResumes: 2,
  cacheMoveTimeoutMs: 1_000,
  minCacheMoveMs: 200,
  reclaimMarginMs: 250,
  endpointWaitMs: 15_000,
  endpointRetryMs: 100,
};

export interface SpliceSituation {
  readonly failure: StreamFailure;
  /** Connections tried at this endpoint since the last progress. */
  readonly resumesDone: number;
  /** Time at which the endpoint's instance may be taken, if announced. */
  readonly reclaimAtMs: number | undefined;
  readonly nowMs: number;
}

/** Chooses the cheapest way on that the situation allows. */
export function chooseSplice(
  situation: SpliceSituation,
  policy: StreamPolicy,
): SpliceAction {
  const { failure, nowMs, reclaimAtMs, resumesDone } = situation;
  if (failure === StreamFailure.Reclaimed) {
    const isTimeLeft =
      reclaimAtMs !== undefined && reclaimAtMs - nowMs >= policy.minCacheMoveMs;
    return isTimeLeft ? SpliceAction.MoveCache : SpliceAction.Regenerate;
  }
  const mayResume =
    failure === StreamFailure.Silent || failure === StreamFailure.Broken;
  return mayResume && resumesDone < policy.maxResumes
    ? SpliceAction.Resume
    : SpliceAction.Regenerate;
}

/**
 * Whether a stream has to leave its endpoint: an announced reclaim comes
 * before the answer can end at the pace seen so far.
 */
export function mustLeave(
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
  const endsAtMs = nowMs + tokensLeft * msPerToken;
  return endsAtMs > reclaimAtMs - policy.reclaimMarginMs;
}
