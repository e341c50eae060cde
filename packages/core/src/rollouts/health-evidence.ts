import type { KindEvidence, SampleBlock } from '../moves/index.js';
import { Signal, SIGNALS } from '../moves/index.js';

/** Share of the requests without an event on the old version that have one on a bad version. */
const BAD_EXCESS_RATE: Readonly<Record<Signal, number>> = {
  [Signal.Failure]: 0.25,
  // A slow version answers several times slower, not a little.
  [Signal.SlowFirstToken]: 0.5,
  [Signal.SlowTokens]: 0.5,
};
/** Pseudo-requests of the old version that start the estimate of its event rate, and their rate. */
const PRIOR_COUNT = 20;
const PRIOR_RATE = 0.02;
/** Minimum log odds over all kinds that a version is healthy. */
const MIN_LOG_ODDS: Readonly<Record<Signal, number>> = {
  [Signal.Failure]: Math.log(10), // about ten requests without a failure
  // A new version starts with empty caches, so some of its answers are slow.
  [Signal.SlowFirstToken]: 0,
  [Signal.SlowTokens]: 0,
};
/** Minimum log odds of each kind: a version may be bad on one route only. */
const MIN_KIND_LOG_ODDS = -Math.log(20);

/**
 * Returns whether the evidence speaks for the new version: its counts are more
 * likely if it is as good as the old one than if it is bad. Little evidence
 * does not.
 */
export function isShownHealthy(evidence: readonly KindEvidence[]): boolean {
  return SIGNALS.every(signal => {
    const oddsByKind = evidence.map(kind =>
      logOddsOfHealth(kind[signal], BAD_EXCESS_RATE[signal]),
    );
    const totalOdds = oddsByKind.reduce((sum, odds) => sum + odds, 0);
    return (
      totalOdds >= MIN_LOG_ODDS[signal] &&
      oddsByKind.every(odds => odds >= MIN_KIND_LOG_ODDS)
    );
  });
}

/** Returns the log likelihood ratio of a healthy version to a bad one, given the old version's rate. */
function logOddsOfHealth(
  { newCount, newEvents, oldCount, oldEvents }: SampleBlock,
  excessRate: number,
): number {
  const healthyRate =
    (oldEvents + PRIOR_COUNT * PRIOR_RATE) / (oldCount + PRIOR_COUNT);
  const badRate = healthyRate + (1 - healthyRate) * excessRate;
  return (
    newEvents * Math.log(healthyRate / badRate) +
    (newCount - newEvents) * Math.log((1 - healthyRate) / (1 - badRate))
  );
}
