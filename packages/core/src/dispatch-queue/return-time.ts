import type { Random } from '../ports/index.js';

/** Share of its remaining time for which a caller waits at most before it returns. */
const MAX_RETURN_SHARE = 1 / 3; // as callers do; a later time would bring them all back at once
const MIN_RETURN_MS = 50;

/**
 * Returns the milliseconds after which a refused caller may return, given when
 * capacity is expected: spread over the upper half of that time, so that callers
 * who are refused together do not return together.
 */
export function spreadReturnMs(
  expectedMs: number,
  remainingMs: number,
  random: Random,
): number {
  const maxMs = Math.max(0, remainingMs) * MAX_RETURN_SHARE;
  const spread = 0.5 + random.nextFloat() / 2;
  return Math.max(MIN_RETURN_MS, Math.min(expectedMs, maxMs) * spread);
}
