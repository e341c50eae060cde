import type { Clock, ServiceOutcome } from '../ports/index.js';
import { PlatformError, ServiceOutcomeKind } from '../ports/index.js';
import type { OutcomeQuery } from './claims.js';

const QUERY_TIMEOUT_MS = 1_000;

/**
 * Queries the service for the outcome of a call; returns it where the call ran,
 * and undefined otherwise. The answer "not run" is disregarded: request bytes
 * still in transit can be executed after it.
 */
export async function queryRanOutcome(
  queryOutcome: OutcomeQuery | undefined,
  deadlineAtMs: number,
  clock: Clock,
): Promise<ServiceOutcome | undefined> {
  const nowMs = clock.nowMs();
  if (queryOutcome === undefined || nowMs >= deadlineAtMs) return undefined;
  try {
    const timeoutAtMs = Math.min(deadlineAtMs, nowMs + QUERY_TIMEOUT_MS);
    const outcome = await queryOutcome(timeoutAtMs);
    return outcome.kind === ServiceOutcomeKind.Ran ? outcome : undefined;
  } catch (error) {
    if (!(error instanceof PlatformError)) throw error;
    return undefined;
  }
}
