import type { LoadReport } from '../ports/index.js';

/** Source of the current demand on the fleet. */
export interface DemandSource {
  /** Returns the demand in tokens per second, from running and queued requests. */
  demandTokensPerSecond(nowMs: number): Promise<number>;
}

const BACKLOG_TARGET_SECONDS = 10;

/**
 * Estimates the demand from the engines' load reports, in tokens per second:
 * the rate at which running requests generate, plus the rate that clears the
 * queues within `BACKLOG_TARGET_SECONDS`.
 */
export function estimateDemand(reports: readonly LoadReport[]): number {
  return reports.reduce(
    (total, report) => total + estimateReportDemand(report),
    0,
  );
}

function estimateReportDemand(report: LoadReport): number {
  const running = report.runningRequests * report.decodeTokensPerSecond;
  const averageTokens =
    report.decodingTokensLeft /
    Math.max(1, report.runningRequests + report.queuedRequests);
  const queued = report.queuedRequests * averageTokens;
  return running + queued / BACKLOG_TARGET_SECONDS;
}
