import type { SampleBlock } from './sample-block.js';
import { addBlocks, EMPTY_BLOCK } from './sample-block.js';

/** Alternatives tested: the fraction of requests without an event on the old version that have one on the new version. */
const EXCESS_RATES = [0.05, 0.15, 0.4, 0.9];

/** Result for a block in which one version has no request, which cannot be tested yet. */
const NO_LOG_FACTORS: readonly number[] = [];

/** Largest number of blocks that are merged until both versions have a request. */
const MAX_JOINED_BLOCKS = 8; // shorter than the time in which a share doubles twice

/** Decay per block of past counts in the estimate of the old version's event rate. */
const RATE_DECAY = 0.98;
/** Pseudo-requests at `MIN_RATE` that start the estimate. */
const PRIOR_COUNT = 50;
const MIN_RATE = 0.002;
const MAX_RATE = 0.6;

/**
 * Sequential test of whether the new version shows an event more often than
 * the old one at the same time.
 *
 * For each of several alternatives, the e-values of the blocks for two
 * Bernoulli samples are multiplied (Turner, Ly and Grünwald, "Generic
 * E-variables for exact sequential k-sample tests that allow for optional
 * stopping", 2024). The evidence is a mixture over the block in which a
 * regression may have started, so that clean blocks before it do not mask it.
 * By Ville's inequality the evidence exceeds 1/alpha with a probability of at
 * most alpha while the versions are equal, however often it is checked.
 */
export class TwoSampleTest {
  /** Logarithm of the evidence for each alternative. */
  private readonly logMixtures = EXCESS_RATES.map(() => -Infinity);
  private readonly logStartWeight: number;
  /** Sum of all blocks so far. */
  total: SampleBlock = EMPTY_BLOCK;
  private pastCount = 0;
  private pastEvents = 0;
  private joined: SampleBlock = EMPTY_BLOCK;
  private joinedBlocks = 0;

  /** `plannedBlocks` is the number of blocks within which a regression may start. */
  constructor(plannedBlocks: number) {
    this.logStartWeight = -Math.log(Math.max(1, plannedBlocks));
  }

  /** Natural logarithm of the evidence that the new version is worse. */
  get logEvidence(): number {
    const total = this.logMixtures.reduce(logSumExp, -Infinity);
    return total - Math.log(this.logMixtures.length);
  }

  /** Returns whether the evidence is at least as strong as the threshold. */
  reaches(logThreshold: number): boolean {
    const strongest = Math.max(...this.logMixtures);
    return strongest >= logThreshold && this.logEvidence >= logThreshold;
  }

  /**
   * Adds a block and returns the logarithm of its e-value for each alternative.
   * A block with requests of only one version is merged into the next ones.
   * The old version's event rate is estimated from earlier blocks only.
   */
  add(newBlock: SampleBlock): readonly number[] {
    this.total = addBlocks(this.total, newBlock);
    const block = addBlocks(this.joined, newBlock);
    this.joinedBlocks += 1;
    if (block.newCount === 0 || block.oldCount === 0) {
      if (this.joinedBlocks < MAX_JOINED_BLOCKS) {
        this.joined = block;
      } else {
        this.updateOldRate(block);
      }
      return NO_LOG_FACTORS;
    }
    const oldRate = this.estimateOldRate();
    const logFactors = EXCESS_RATES.map(excess =>
      logEValue(block, oldRate + (1 - oldRate) * excess, oldRate),
    );
    this.addLogFactors(logFactors);
    this.updateOldRate(block);
    return logFactors;
  }

  /** Multiplies the evidence by e-values given as logarithms, such as those of another test. */
  addLogFactors(logFactors: readonly number[]): void {
    if (logFactors.length === 0) return;
    this.logMixtures.forEach((logMixture, index) => {
      const withStart = logSumExp(logMixture, this.logStartWeight);
      this.logMixtures[index] = withStart + (logFactors[index] ?? 0);
    });
  }

  /** Updates the estimate of the old version's event rate and starts a new block. */
  private updateOldRate(block: SampleBlock): void {
    this.joined = EMPTY_BLOCK;
    this.joinedBlocks = 0;
    this.pastCount = this.pastCount * RATE_DECAY + block.oldCount;
    this.pastEvents = this.pastEvents * RATE_DECAY + block.oldEvents;
  }

  private estimateOldRate(): number {
    const events = this.pastEvents + MIN_RATE * PRIOR_COUNT;
    const rate = events / (this.pastCount + PRIOR_COUNT);
    return Math.min(MAX_RATE, Math.max(MIN_RATE, rate));
  }
}

function logEValue(
  block: SampleBlock,
  newRate: number,
  oldRate: number,
): number {
  const { newCount, newEvents, oldCount, oldEvents } = block;
  const pooledRate =
    (newCount * newRate + oldCount * oldRate) / (newCount + oldCount);
  return (
    newEvents * Math.log(newRate / pooledRate) +
    (newCount - newEvents) * Math.log((1 - newRate) / (1 - pooledRate)) +
    oldEvents * Math.log(oldRate / pooledRate) +
    (oldCount - oldEvents) * Math.log((1 - oldRate) / (1 - pooledRate))
  );
}

/** Returns the logarithm of the sum of two numbers given as logarithms. */
function logSumExp(left: number, right: number): number {
  const larger = Math.max(left, right);
  if (larger === -Infinity) return larger;
  return larger + Math.log1p(Math.exp(Math.min(left, right) - larger));
}
