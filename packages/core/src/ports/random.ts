import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** Random number generator. Injected, so that runs are reproducible. */
export interface Random {
  /** Returns a uniformly distributed number in [0, 1). */
  nextFloat(): number;
  /** Returns a uniformly distributed integer in [0, exclusiveMax). */
  nextInteger(exclusiveMax: number): number;
}

/** Seeded random number generator (xoroshiro128+ of pure-rand). */
export class SeededRandom implements Random {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  nextFloat(): number {
    return uniformFloat64(this.generator);
  }

  nextInteger(exclusiveMax: number): number {
    return Math.floor(this.nextFloat() * exclusiveMax);
  }
}
