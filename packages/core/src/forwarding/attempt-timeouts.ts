import type { ForwardRoute } from './configuration.js';
import { RouteType } from './configuration.js';

/** How long an attempt may stay silent before another endpoint is asked. */
export interface AttemptLimits {
  readonly firstLimitMs: number;
  readonly gapLimitMs: number;
}

/** Objectives after which a plain request is asked for elsewhere. */
const PLAIN_OBJECTIVES = 2; // the answer is late by then; a second try can still come in time
const MIN_PLAIN_MS = 200;
/** Objectives after which a stream without an event is asked for elsewhere. */
const STREAM_OBJECTIVES = 2;
const MIN_STREAM_MS = 1_500; // callers leave a silent stream after 2 s at the earliest
/** Pause after which a stream goes on elsewhere. */
const GAP_MS = 1_200; // below the 2 s after which callers leave

const UNLIMITED: AttemptLimits = {
  firstLimitMs: Infinity,
  gapLimitMs: Infinity,
};

/** Limits of one attempt; none where the request may not be repeated. */
export function attemptLimits(
  route: ForwardRoute,
  mayRepeat: boolean,
): AttemptLimits {
  if (!mayRepeat || route.maxAttempts < 2) return UNLIMITED;
  const { latencyObjectiveMs, type } = route;
  if (type === RouteType.Streaming) {
    const byObjectiveMs = STREAM_OBJECTIVES * latencyObjectiveMs;
    return {
      firstLimitMs: Math.max(MIN_STREAM_MS, byObjectiveMs),
      gapLimitMs: GAP_MS,
    };
  }
  const limitMs = Math.max(MIN_PLAIN_MS, PLAIN_OBJECTIVES * latencyObjectiveMs);
  return { firstLimitMs: limitMs, gapLimitMs: limitMs };
}
