import type { Clock, ServiceOutcome } from '../ports/index.js';
import { PlatformError, ServiceOutcomeKind } from '../ports/index.js';
import type { OutcomeQuery } from './claims.js';

const QUERY_TIMEOUT_MS = 1_000;

/**
 * What the service tells of a call that ran, or undefined. Its "not run" is not
 * believed: bytes that are still on their way can run after that answer.
 */
export async function queryRan(
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
