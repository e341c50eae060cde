import type { LoadReport } from '../ports/index.js';

/** Load that callers ask for at present. */
export interface DemandSource {
  /** Tokens a second, generated and waiting to be. */
  demandTokensPerSecond(nowMs: number): Promise<number>;
}

const BACKLOG_TARGET_SECONDS = 10;

/**
 * Load that the engines' reports show: what running requests generate, and
 * what it takes to clear the queues within `BACKLOG_TARGET_SECONDS`.
 */
export function demandOf(reports: readonly LoadReport[]): number {
  return reports.reduce((total, report) => total + demandOfOne(report), 0);
}

function demandOfOne(report: LoadReport): number {
  const running = report.runningRequests * report.decodeTokensPerSecond;
  const averageTokens =
    report.decodingTokensLeft /
    Math.max(1, report.runningRequests + report.queuedRequests);
  const queued = report.queuedRequests * averageTokens;
  return running + queued / BACKLOG_TARGET_SECONDS;
}
