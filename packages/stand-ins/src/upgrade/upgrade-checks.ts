import type {
  AcceptedReport,
  DutyCall,
} from '@skylarkreach/platform/stand-ins';

import { SoakCallKind } from '../gateway/index.js';
import type { UpgradeCall } from './upgrade-callers.js';

/** Time around a cut in which a daemon does not count as in contact. */
const CONTACT_MS = 3_000;
/** Time after a cut within which a daemon passes its requests on. */
const DETECTION_MS = 1_500;
/** Time after a request was sent up to which a close may have crossed it. */
const CROSSING_MS = 200;
const OK = 200;
/** Statuses that say that a request has not run. */
const REFUSALS: ReadonlySet<number> = new Set([429, 503]);

/** Time in which a daemon's links to the endpoints were cut. */
export interface LinkCut {
  readonly gatewayId: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Returns a line for each request that got neither a whole answer nor a refusal. */
export function unansweredCalls(
  calls: readonly UpgradeCall[],
  cuts: readonly LinkCut[],
): readonly string[] {
  return calls
    .filter(call => !cuts.some(cut => isExcused(call, cut)))
    .filter(({ status, text }) => {
      const isWhole = status !== undefined && text !== undefined;
      return !isWhole || (status !== OK && !REFUSALS.has(status));
    })
    .filter(({ cutAfterMs, status }) => {
      const hasCrossed = (cutAfterMs ?? Infinity) <= CROSSING_MS;
      return status !== undefined || !hasCrossed;
    })
    .map(
      ({ cutAfterMs, gatewayId, id, status }) =>
        `${id} at ${gatewayId} ended with ${status ?? 'a cut'}` +
        (cutAfterMs === undefined ? '' : ` after ${Math.round(cutAfterMs)} ms`),
    );
}

/** Returns a line for each posting that was answered with success and that no endpoint ran. */
export function lostPostings(
  calls: readonly UpgradeCall[],
  runIds: ReadonlySet<string>,
): readonly string[] {
  return calls
    .filter(({ kind }) => kind === SoakCallKind.Posting)
    .filter(({ id, status }) => status === OK && !runIds.has(id))
    .map(({ id }) => `${id} was answered and did not run`);
}

/** Returns a line for each pair of usage reports of one window with different counts. */
export function differingReports(reports: readonly AcceptedReport[]): string[] {
  const textByWindow = new Map<number, string>();
  return reports.flatMap(({ counts, holder, windowId }) => {
    const text = JSON.stringify(counts);
    const known = textByWindow.get(windowId) ?? text;
    textByWindow.set(windowId, known);
    return text === known ? [] : [`${holder} reports ${text} after ${known}`];
  });
}

/** Returns a line for each call of a holder whose fencing number another one used, or is lower than one before. */
export function fencingViolations(calls: readonly DutyCall[]): string[] {
  const holders = new Map<number, string>();
  let highest = 0;
  return calls.flatMap(({ fencingNumber, holder, path }) => {
    const known = holders.get(fencingNumber) ?? holder;
    holders.set(fencingNumber, known);
    const isOrdered = fencingNumber >= highest;
    highest = Math.max(highest, fencingNumber);
    return isOrdered && known === holder
      ? []
      : [`${holder} calls ${path} with ${fencingNumber}, as ${known} did`];
  });
}

/** Returns the share of the requests at daemons with cut links that were served, once they had time to find out. */
export function servedShareAtCuts(
  calls: readonly UpgradeCall[],
  cuts: readonly LinkCut[],
): number {
  const affected = calls.filter(({ gatewayId, sentAtMs }) =>
    cuts.some(
      cut =>
        cut.gatewayId === gatewayId &&
        sentAtMs >= cut.fromMs + DETECTION_MS &&
        sentAtMs < cut.untilMs,
    ),
  );
  const served = affected.filter(({ status }) => status === OK);
  return served.length / affected.length;
}

function isExcused(
  { gatewayId, sentAtMs }: UpgradeCall,
  cut: LinkCut,
): boolean {
  return (
    gatewayId === cut.gatewayId &&
    sentAtMs >= cut.fromMs - CONTACT_MS &&
    sentAtMs < cut.untilMs + CONTACT_MS
  );
}
