import type { ForwardRoute } from './configuration.js';
import { RouteType } from './configuration.js';

/** Time without data after which an attempt is abandoned for another endpoint. */
export interface AttemptTimeouts {
  readonly firstChunkTimeoutMs: number;
  readonly chunkGapTimeoutMs: number;
}

/** Timeout of a request that is not streamed, as a multiple of the latency objective. */
const PLAIN_TIMEOUT_OBJECTIVES = 2; // the response has missed its objective by then, and a retry can still meet the deadline
const MIN_PLAIN_TIMEOUT_MS = 200;
/** Timeout for the first event of a stream, as a multiple of the latency objective. */
const STREAM_TIMEOUT_OBJECTIVES = 2;
const MIN_STREAM_TIMEOUT_MS = 1_500; // callers give up a stream without data after 2 s at the earliest
/** Gap between chunks after which a stream is continued at another endpoint. */
const STREAM_GAP_TIMEOUT_MS = 1_200; // below the 2 s after which callers give up

const NO_TIMEOUTS: AttemptTimeouts = {
  firstChunkTimeoutMs: Infinity,
  chunkGapTimeoutMs: Infinity,
};

/** Returns the timeouts of one attempt; infinite if the request must not be repeated. */
export function attemptTimeouts(
  route: ForwardRoute,
  isRepeatable: boolean,
): AttemptTimeouts {
  if (!isRepeatable || route.maxAttempts < 2) return NO_TIMEOUTS;
  const { latencyObjectiveMs, type } = route;
  if (type === RouteType.Streaming) {
    const byObjectiveMs = STREAM_TIMEOUT_OBJECTIVES * latencyObjectiveMs;
    return {
      firstChunkTimeoutMs: Math.max(MIN_STREAM_TIMEOUT_MS, byObjectiveMs),
      chunkGapTimeoutMs: STREAM_GAP_TIMEOUT_MS,
    };
  }
  const timeoutMs = Math.max(
    MIN_PLAIN_TIMEOUT_MS,
    PLAIN_TIMEOUT_OBJECTIVES * latencyObjectiveMs,
  );
  return { firstChunkTimeoutMs: timeoutMs, chunkGapTimeoutMs: timeoutMs };
}
