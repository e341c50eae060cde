import type { KindProgress, MoveSpec } from './move.js';

/** Share of the first stage, from 0 to 1. */
export const FIRST_SHARE = 0.04;

/** Share that a kind reaches before the move is done; the rest compares. */
export const FULL_SHARE = 0.9;

/** Largest share of a kind that is not proved. */
const UNPROVED_SHARE_LIMIT = 0.3;

/** Part of a kind's requests that a fault still unseen may reach. */
const HIDDEN_FAULT_BUDGET = 0.01;

/** Requests without a finding after which a fault of rate r is seen with 95%: 3 / r (rule of three). */
const RULE_OF_THREE = 3;

/** Requests on the new version that prove a kind. */
export const PROVED_COUNT = RULE_OF_THREE / HIDDEN_FAULT_BUDGET;

/** Requests on the new version, over all kinds, that end the first stage. */
const FIRST_STAGE_COUNT = 60;

/** Requests below which a move cannot be judged and is taken back. */
export const MIN_JUDGED_COUNT = 100;

/** Largest growth of a share in one step. */
const STEP_FACTOR = 2;

/** Part of the time to the deadline by which the evidence should be there. */
const EVIDENCE_TIME_FRACTION = 0.6;

/** Part of the time to the end after which cautious kinds begin though others are not proved. */
const CAUTIOUS_WAIT_FRACTION = 0.33; // leaves twice as long to judge them

/** Part of a move's time kept for its last write. */
const END_MARGIN_FRACTION = 0.2;
const MIN_END_MARGIN_MS = 15_000;

/** Requests of a kind a second, as the holder sees them over all daemons. */
export type KindRates = ReadonlyMap<string, number>;

/** Time from which the move's end is written. */
export function endFromMs(spec: MoveSpec): number {
  const timeMs = spec.deadlineAtMs - spec.startedAtMs;
  const marginMs = Math.max(timeMs * END_MARGIN_FRACTION, MIN_END_MARGIN_MS);
  return spec.deadlineAtMs - Math.min(marginMs, timeMs / 2);
}

function cautiousFromMs(spec: MoveSpec): number {
  const timeMs = endFromMs(spec) - spec.startedAtMs;
  return spec.startedAtMs + timeMs * CAUTIOUS_WAIT_FRACTION;
}

/**
 * Next share of every kind. A share is bounded by the fault that the evidence
 * so far could hide; kinds with few requests get a share that brings enough
 * evidence by the deadline, within a limit; cautious kinds wait for the others
 * as long as there is time to judge them afterwards.
 */
export function nextProgress(
  spec: MoveSpec,
  progress: readonly KindProgress[],
  rates: KindRates,
  nowMs: number,
): readonly KindProgress[] {
  const total = progress.reduce((sum, each) => sum + each.newCount, 0);
  const othersProved = progress
    .filter(each => !spec.cautiousKinds.includes(each.kind))
    .every(each => isProved(each) || isRare(each, rates, spec, nowMs));
  const mayBegin = othersProved || nowMs >= cautiousFromMs(spec);
  return progress.map(each => {
    const isCautious = spec.cautiousKinds.includes(each.kind);
    const share =
      isCautious && !mayBegin
        ? 0
        : nextShare(spec, each, total, rates.get(each.kind) ?? 0, nowMs);
    return { ...each, share: Math.max(each.share, share) };
  });
}

/** True where the kind has had enough requests on the new version. */
export function isProved(progress: KindProgress): boolean {
  return progress.newCount >= PROVED_COUNT;
}

/** Requests on the new version that the rates promise before the end at the first share. */
export function expectedCount(
  spec: MoveSpec,
  rates: KindRates,
  nowMs: number,
): number {
  const seconds = Math.max(0, endFromMs(spec) - nowMs) / 1_000;
  const total = [...rates.values()].reduce((sum, rate) => sum + rate, 0);
  return total * seconds * FIRST_SHARE;
}

function nextShare(
  spec: MoveSpec,
  progress: KindProgress,
  totalCount: number,
  rate: number,
  nowMs: number,
): number {
  if (totalCount < FIRST_STAGE_COUNT) return FIRST_SHARE;
  const byEvidence = (HIDDEN_FAULT_BUDGET * progress.newCount) / RULE_OF_THREE;
  const byTime = Math.min(
    UNPROVED_SHARE_LIMIT,
    shareForEvidence(spec, progress, rate, nowMs),
  );
  const wanted = Math.max(FIRST_SHARE, byEvidence, byTime);
  const reachable = Math.max(FIRST_SHARE, progress.share * STEP_FACTOR);
  return Math.min(wanted, reachable, FULL_SHARE);
}

/** Share at which the kind's missing evidence arrives in time. */
function shareForEvidence(
  spec: MoveSpec,
  progress: KindProgress,
  rate: number,
  nowMs: number,
): number {
  const missing = PROVED_COUNT - progress.newCount;
  const timeMs = (endFromMs(spec) - nowMs) * EVIDENCE_TIME_FRACTION;
  if (missing <= 0) return 0;
  if (rate <= 0 || timeMs <= 0) return 1;
  return missing / ((rate * timeMs) / 1_000);
}

/** True where even the limit for unproved kinds brings too little evidence. */
function isRare(
  progress: KindProgress,
  rates: KindRates,
  spec: MoveSpec,
  nowMs: number,
): boolean {
  const rate = rates.get(progress.kind) ?? 0;
  const needed = shareForEvidence(spec, progress, rate, nowMs);
  return (
    needed > UNPROVED_SHARE_LIMIT && progress.share >= UNPROVED_SHARE_LIMIT
  );
}
