import type { KindProgress, MoveSpec } from './move.js';

/** Traffic share of the new version in the initial stage, from 0 to 1. */
export const INITIAL_SHARE = 0.04;

/** Largest share while a move runs; the rest stays on the old version for comparison. */
export const MAX_RUNNING_SHARE = 0.9;

/** Largest share that a kind gets to collect missing samples in time. */
const MAX_UNDERSAMPLED_SHARE = 0.3;

/** Fraction of a kind's requests that may be hit by a fault not yet detected. */
const UNDETECTED_FAULT_BUDGET = 0.01;

/** A fault of rate r shows in 3 / r requests with a probability of 95% (rule of three). */
const RULE_OF_THREE = 3;

/** Requests on the new version that are enough for a verdict on one kind. */
export const SUFFICIENT_SAMPLE_COUNT = RULE_OF_THREE / UNDETECTED_FAULT_BUDGET;

/** Requests on the new version, over all kinds, that end the initial stage. */
const INITIAL_STAGE_REQUEST_COUNT = 60;

/** Requests on the new version, over all kinds, below which a move is rolled back as untested. */
export const MIN_TOTAL_SAMPLE_COUNT = 100;

/** Largest factor by which a share grows in one step. */
const MAX_SHARE_GROWTH_FACTOR = 2;

/** Fraction of the time left before the end within which the missing samples should arrive. */
const SAMPLING_TIME_FRACTION = 0.6;

/** Fraction of the time from a move's start to its earliest end after which cautious kinds start even if other kinds lack samples. */
const CAUTIOUS_KIND_DELAY_FRACTION = 0.33; // leaves twice as long to test the cautious kinds

/** Fraction of a move's time that is reserved for writing its end. */
const END_MARGIN_FRACTION = 0.2;
const MIN_END_MARGIN_MS = 15_000;

/** Requests per second of each kind, over all daemons. */
export type KindRates = ReadonlyMap<string, number>;

/** Returns the earliest time at which a move may complete. */
export function earliestEndAtMs(spec: MoveSpec): number {
  const timeMs = spec.deadlineAtMs - spec.startedAtMs;
  const marginMs = Math.max(timeMs * END_MARGIN_FRACTION, MIN_END_MARGIN_MS);
  return spec.deadlineAtMs - Math.min(marginMs, timeMs / 2);
}

/** Returns the time from which cautious kinds no longer wait for the others. */
function cautiousKindsStartAtMs(spec: MoveSpec): number {
  const timeMs = earliestEndAtMs(spec) - spec.startedAtMs;
  return spec.startedAtMs + timeMs * CAUTIOUS_KIND_DELAY_FRACTION;
}

/**
 * Returns the next share of every kind; shares never decrease. A share is
 * bounded by the size of a fault that the samples so far could have missed.
 * Kinds with few requests get a share that yields enough samples before the
 * end, up to a limit. Cautious kinds wait until the other kinds have enough
 * samples, as long as time remains to test them afterwards.
 */
export function nextProgress(
  spec: MoveSpec,
  progress: readonly KindProgress[],
  rates: KindRates,
  nowMs: number,
): readonly KindProgress[] {
  const totalCount = progress.reduce(
    (sum, kindProgress) => sum + kindProgress.newCount,
    0,
  );
  const areOthersSampled = progress
    .filter(kindProgress => !spec.cautiousKinds.includes(kindProgress.kind))
    .every(
      kindProgress =>
        hasSufficientSamples(kindProgress) ||
        isTooRareToSample(kindProgress, rates, spec, nowMs),
    );
  const mayStartCautiousKinds =
    areOthersSampled || nowMs >= cautiousKindsStartAtMs(spec);
  return progress.map(kindProgress => {
    const isCautious = spec.cautiousKinds.includes(kindProgress.kind);
    const share =
      isCautious && !mayStartCautiousKinds
        ? 0
        : nextShare(
            spec,
            kindProgress,
            totalCount,
            rates.get(kindProgress.kind) ?? 0,
            nowMs,
          );
    return { ...kindProgress, share: Math.max(kindProgress.share, share) };
  });
}

/** Returns whether the new version served enough requests of the kind for a verdict on it. */
export function hasSufficientSamples(progress: KindProgress): boolean {
  return progress.newCount >= SUFFICIENT_SAMPLE_COUNT;
}

/** Returns the number of requests expected on the new version by the earliest end at the initial share. */
export function expectedRequestCount(
  spec: MoveSpec,
  rates: KindRates,
  nowMs: number,
): number {
  const seconds = Math.max(0, earliestEndAtMs(spec) - nowMs) / 1_000;
  const requestsPerSecond = [...rates.values()].reduce(
    (sum, rate) => sum + rate,
    0,
  );
  return requestsPerSecond * seconds * INITIAL_SHARE;
}

function nextShare(
  spec: MoveSpec,
  progress: KindProgress,
  totalCount: number,
  rate: number,
  nowMs: number,
): number {
  if (totalCount < INITIAL_STAGE_REQUEST_COUNT) return INITIAL_SHARE;
  const shareForFaultBudget =
    (UNDETECTED_FAULT_BUDGET * progress.newCount) / RULE_OF_THREE;
  const shareForSampling = Math.min(
    MAX_UNDERSAMPLED_SHARE,
    shareForSufficientSamples(spec, progress, rate, nowMs),
  );
  const targetShare = Math.max(
    INITIAL_SHARE,
    shareForFaultBudget,
    shareForSampling,
  );
  const maxShare = Math.max(
    INITIAL_SHARE,
    progress.share * MAX_SHARE_GROWTH_FACTOR,
  );
  return Math.min(targetShare, maxShare, MAX_RUNNING_SHARE);
}

/** Returns the share at which the kind's missing samples arrive in time; it may exceed 1. */
function shareForSufficientSamples(
  spec: MoveSpec,
  progress: KindProgress,
  rate: number,
  nowMs: number,
): number {
  const missingCount = SUFFICIENT_SAMPLE_COUNT - progress.newCount;
  const timeMs = (earliestEndAtMs(spec) - nowMs) * SAMPLING_TIME_FRACTION;
  if (missingCount <= 0) return 0;
  if (rate <= 0 || timeMs <= 0) return 1;
  return missingCount / ((rate * timeMs) / 1_000);
}

/** Returns whether the kind has reached the share limit for sampling and would need a larger share. */
function isTooRareToSample(
  progress: KindProgress,
  rates: KindRates,
  spec: MoveSpec,
  nowMs: number,
): boolean {
  const rate = rates.get(progress.kind) ?? 0;
  const neededShare = shareForSufficientSamples(spec, progress, rate, nowMs);
  return (
    neededShare > MAX_UNDERSAMPLED_SHARE &&
    progress.share >= MAX_UNDERSAMPLED_SHARE
  );
}
