import type { MachineClass, Pool } from '@skylarkreach/core/fleet';
import { poolKey } from '@skylarkreach/core/fleet';
import type { DataCentre, Price, Random } from '@skylarkreach/core/ports';
import { InstanceBilling, SeededRandom } from '@skylarkreach/core/ports';

import type { FleetDeployment } from './deployments.js';
import { MACHINE_CLASSES } from './deployments.js';

const HOUR_MS = 3_600_000;
const MINUTE_MS = 60_000;
const PRICE_STEP_MS = 5 * MINUTE_MS;

/** Bounds of the mean price of a reclaimable pool, as a fraction of the on-demand price. */
export const MIN_MEAN_RATIO = 0.25;
export const MAX_MEAN_RATIO = 0.45;
const MIN_RATIO = 0.15;
const MAX_RATIO = 1.1;
const RATIO_NOISE = 0.02;
const RATIO_REVERSION = 0.05;
const SPIKES_PER_DAY = 0.5;
const SPIKE_RATIO = 0.95;
const SPIKE_MS = 2 * HOUR_MS;

/** Time between a reclaim notice and the end of the instance. */
export const RECLAIM_NOTICE_MS = 30_000;
export const WAVES_PER_DAY = 4;
const MIN_WAVE_GAP_MS = HOUR_MS / 2;
const MIN_REFUSED_MS = 10 * MINUTE_MS;
const MAX_REFUSED_MS = 40 * MINUTE_MS;
/** Probability that a reclaimable pool outside the wave's data centre also refuses starts. */
const REFUSED_RECLAIMABLE_PROBABILITY = 0.5;
const REFUSED_ON_DEMAND_PROBABILITY = 0.25;

/** Reclaim of all reclaimable instances of one data centre. */
export interface ReclaimWave {
  readonly dataCentre: DataCentre;
  readonly noticeAtMs: number;
  readonly refusedUntilMs: number;
  readonly refusingPools: ReadonlySet<string>;
}

/** Generated demand, prices and reclaims of several days, the same for every strategy. */
export class FleetTrace {
  readonly waves: readonly ReclaimWave[];
  private readonly priceRatiosByPool = new Map<string, readonly number[]>();
  private readonly demandNoise: readonly number[];
  private readonly pricesByStep = new Map<number, readonly Price[]>();

  constructor(
    readonly deployment: FleetDeployment,
    readonly startAtMs: number,
    readonly endAtMs: number,
    seed: number,
  ) {
    const random = new SeededRandom(seed);
    for (const pool of this.pools(InstanceBilling.Reclaimable)) {
      this.priceRatiosByPool.set(poolKey(pool), this.drawPriceRatios(random));
    }
    this.demandNoise = this.drawDemandNoise(random);
    this.waves = this.drawWaves(random);
  }

  /** Returns the load that callers demand, in tokens per second. */
  demandAt(nowMs: number): number {
    const { peakTokensPerSecond, nightShare, peakHours } = this.deployment;
    const hour = ((nowMs - this.startAtMs) / HOUR_MS) % 24;
    const peakLevel = peakHours.reduce(
      (max, peakHour) => Math.max(max, raisedCosine(hour - peakHour)),
      0,
    );
    const shape = nightShare + (1 - nightShare) * peakLevel;
    return (
      peakTokensPerSecond * shape * (1 + this.valueAt(this.demandNoise, nowMs))
    );
  }

  pricesAt(nowMs: number): readonly Price[] {
    const step = Math.floor((nowMs - this.startAtMs) / PRICE_STEP_MS);
    const prices = this.pricesByStep.get(step) ?? this.drawPrices(nowMs);
    this.pricesByStep.set(step, prices);
    return prices;
  }

  private drawPrices(nowMs: number): readonly Price[] {
    const pools = [
      ...this.pools(InstanceBilling.Reclaimable),
      ...this.pools(InstanceBilling.OnDemand),
    ];
    return pools.map(pool => {
      const ratios = this.priceRatiosByPool.get(poolKey(pool));
      const ratio = ratios === undefined ? 1 : this.valueAt(ratios, nowMs);
      const pricePerHour = classOf(pool).onDemandPricePerHour * ratio;
      return { ...pool, pricePerHour };
    });
  }

  /** Whether the pool refuses starts because of a reclaim wave. */
  refusesStarts(pool: Pool, nowMs: number): boolean {
    return this.waves.some(
      wave =>
        nowMs >= wave.noticeAtMs &&
        nowMs < wave.refusedUntilMs &&
        wave.refusingPools.has(poolKey(pool)),
    );
  }

  private pools(billing: InstanceBilling): readonly Pool[] {
    return this.deployment.dataCentres.flatMap(dataCentre =>
      MACHINE_CLASSES.map(({ name }) => ({
        machineClass: name,
        dataCentre,
        billing,
      })),
    );
  }

  private valueAt(values: readonly number[], nowMs: number): number {
    const index = Math.floor((nowMs - this.startAtMs) / PRICE_STEP_MS);
    return values[Math.min(Math.max(index, 0), values.length - 1)] ?? 0;
  }

  /** Draws a mean-reverting random walk of the price ratio, with spikes. */
  private drawPriceRatios(random: Random): readonly number[] {
    const mean =
      MIN_MEAN_RATIO + random.nextFloat() * (MAX_MEAN_RATIO - MIN_MEAN_RATIO);
    const spikeChance = (SPIKES_PER_DAY * PRICE_STEP_MS) / (24 * HOUR_MS);
    let ratio = mean;
    let spikeSteps = 0;
    return this.priceSteps().map(() => {
      ratio += RATIO_REVERSION * (mean - ratio);
      ratio += RATIO_NOISE * (random.nextFloat() * 2 - 1);
      ratio = Math.min(Math.max(ratio, MIN_RATIO), MAX_RATIO);
      if (random.nextFloat() < spikeChance)
        spikeSteps = SPIKE_MS / PRICE_STEP_MS;
      spikeSteps -= 1;
      return spikeSteps > 0 ? SPIKE_RATIO : ratio;
    });
  }

  private drawDemandNoise(random: Random): readonly number[] {
    let level = 0;
    return this.priceSteps().map(() => {
      level = 0.8 * level + 0.03 * (random.nextFloat() * 2 - 1);
      return level;
    });
  }

  private priceSteps(): readonly number[] {
    const count = Math.ceil((this.endAtMs - this.startAtMs) / PRICE_STEP_MS);
    return Array.from({ length: count }, (_, index) => index);
  }

  private drawWaves(random: Random): readonly ReclaimWave[] {
    const days = (this.endAtMs - this.startAtMs) / (24 * HOUR_MS);
    const count = Math.round(WAVES_PER_DAY * days);
    const waveIntervalMs = (this.endAtMs - this.startAtMs) / count;
    return Array.from({ length: count }, (_, index) => {
      const withinMs = random.nextFloat() * (waveIntervalMs - MIN_WAVE_GAP_MS);
      const noticeAtMs =
        this.startAtMs +
        index * waveIntervalMs +
        MIN_WAVE_GAP_MS / 2 +
        withinMs;
      return this.drawWave(random, noticeAtMs);
    });
  }

  private drawWave(random: Random, noticeAtMs: number): ReclaimWave {
    const { dataCentres } = this.deployment;
    const index = random.nextInteger(dataCentres.length);
    const dataCentre = dataCentres[index] ?? '';
    const refusingPools = [
      ...this.pools(InstanceBilling.Reclaimable).filter(
        pool =>
          random.nextFloat() < REFUSED_RECLAIMABLE_PROBABILITY ||
          pool.dataCentre === dataCentre,
      ),
      ...this.pools(InstanceBilling.OnDemand).filter(
        () => random.nextFloat() < REFUSED_ON_DEMAND_PROBABILITY,
      ),
    ];
    const refusedMs =
      MIN_REFUSED_MS + random.nextFloat() * (MAX_REFUSED_MS - MIN_REFUSED_MS);
    return {
      dataCentre,
      noticeAtMs,
      refusedUntilMs: noticeAtMs + refusedMs,
      refusingPools: new Set(refusingPools.map(poolKey)),
    };
  }
}

function classOf(pool: Pool): MachineClass & { onDemandPricePerHour: number } {
  const machineClass = MACHINE_CLASSES.find(
    candidate => candidate.name === pool.machineClass,
  );
  if (machineClass === undefined) {
    throw new RangeError(
      `Machine class ${pool.machineClass} is unknown; add it to MACHINE_CLASSES.`,
    );
  }
  return machineClass;
}

/** Returns a raised-cosine pulse: 1 at zero hours, 0 from four hours away on either side. */
function raisedCosine(hours: number): number {
  const halfWidthHours = 4;
  if (Math.abs(hours) >= halfWidthHours) return 0;
  return (1 + Math.cos((Math.PI * hours) / halfWidthHours)) / 2;
}
