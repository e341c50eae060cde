import type { SampleBlock } from './sample-block.js';
import { addBlocks, EMPTY_BLOCK } from './sample-block.js';

/** Parts of the requests without an event that the alternatives turn into events. */
const EXCESS_RATES = [0.05, 0.15, 0.4, 0.9];

/** Answer for a block in which one version has no request: it shows nothing yet. */
const NO_FACTORS: readonly number[] = [];

/** Blocks that are put together until both versions have a request. */
const MAX_JOINED_BLOCKS = 8; // shorter than the time in which a share doubles twice

/** Weight of the past in the estimate of the old version's rate, a block. */
const RATE_DECAY = 0.98;
const PRIOR_COUNT = 50;
const MIN_RATE = 0.002;
const MAX_RATE = 0.6;

/**
 * Sequential test of whether the new version shows an event more often than
 * the old one at the same time.
 *
 * Each block multiplies an e-value for two Bernoulli samples (Turner, Ly and
 * Grünwald, "Generic E-variables for exact sequential k-sample tests that allow
 * for optional stopping", 2024) for each of several alternatives. The mixture
 * over the block in which the fault began keeps evidence from before it from
 * hiding it. By Ville's inequality the evidence exceeds 1/alpha with a
 * probability of at most alpha while the versions are alike, however often it
 * is looked at.
 */
export class TwoSampleTest {
  /** Logarithms of the evidence, one an alternative. */
  private readonly logMixtures = EXCESS_RATES.map(() => -Infinity);
  private readonly logStartWeight: number;
  /** All requests so far. */
  total: SampleBlock = EMPTY_BLOCK;
  private pastCount = 0;
  private pastEvents = 0;
  private joined: SampleBlock = EMPTY_BLOCK;
  private joinedBlocks = 0;

  /** `plannedBlocks` bounds the blocks over which a fault may begin. */
  constructor(plannedBlocks: number) {
    this.logStartWeight = -Math.log(Math.max(1, plannedBlocks));
  }

  /** Natural logarithm of the evidence that the new version is worse. */
  get logEvidence(): number {
    const total = this.logMixtures.reduce(logAdd, -Infinity);
    return total - Math.log(this.logMixtures.length);
  }

  /** True where the evidence is at least as strong as the threshold. */
  reaches(logThreshold: number): boolean {
    const strongest = Math.max(...this.logMixtures);
    return strongest >= logThreshold && this.logEvidence >= logThreshold;
  }

  /**
   * Adds a block and returns the logarithm of its e-value for each alternative.
   * A block with requests of one version only is joined to the next ones.
   * The old version's rate is estimated from earlier blocks only.
   */
  add(newest: SampleBlock): readonly number[] {
    this.total = addBlocks(this.total, newest);
    const block = addBlocks(this.joined, newest);
    this.joinedBlocks += 1;
    if (block.newCount === 0 || block.oldCount === 0) {
      if (this.joinedBlocks < MAX_JOINED_BLOCKS) {
        this.joined = block;
      } else {
        this.learn(block);
      }
      return NO_FACTORS;
    }
    const oldRate = this.oldRate();
    const logFactors = EXCESS_RATES.map(excess =>
      logEValue(block, oldRate + (1 - oldRate) * excess, oldRate),
    );
    this.addLogFactors(logFactors);
    this.learn(block);
    return logFactors;
  }

  /** Multiplies the evidence by e-values that were worked out elsewhere. */
  addLogFactors(logFactors: readonly number[]): void {
    if (logFactors.length === 0) return;
    this.logMixtures.forEach((logMixture, index) => {
      const started = logAdd(logMixture, this.logStartWeight);
      this.logMixtures[index] = started + (logFactors[index] ?? 0);
    });
  }

  /** Updates the estimate of the old version's rate and begins a new block. */
  private learn(block: SampleBlock): void {
    this.joined = EMPTY_BLOCK;
    this.joinedBlocks = 0;
    this.pastCount = this.pastCount * RATE_DECAY + block.oldCount;
    this.pastEvents = this.pastEvents * RATE_DECAY + block.oldEvents;
  }

  private oldRate(): number {
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

/** Logarithm of the sum of two numbers given by their logarithms. */
function logAdd(left: number, right: number): number {
  const larger = Math.max(left, right);
  if (larger === -Infinity) return larger;
  return larger + Math.log1p(Math.exp(Math.min(left, right) - larger));
}
