import type { Address } from '../ports/index.js';
import { hash32 } from './hash.js';

/** Maximum number of addresses after the key on the ring that a look-up ranks. */
const MAX_RANKED_POINTS = 32;

interface RingPoint {
  readonly position: number;
  readonly address: Address;
}

interface RankedAddress {
  readonly address: Address;
  readonly rank: number;
}

/**
 * Hash ring that ranks the addresses following a key by rendezvous hashing
 * (Thaler and Ravishankar, 1998). A look-up ranks a bounded number of addresses,
 * daemons with the same addresses get the same result for a key, and adding or
 * removing an address moves few keys.
 */
export class HashRing {
  private readonly points: RingPoint[] = [];

  add(address: Address): void {
    const position = hash32(address);
    this.points.splice(this.lowerBound(position), 0, { position, address });
  }

  remove(address: Address): void {
    const index = this.points.findIndex(point => point.address === address);
    if (index >= 0) this.points.splice(index, 1);
  }

  /** Returns up to `count` addresses for the key, in descending order of rank. */
  highestRanked(key: string, count: number): readonly Address[] {
    const pointCount = Math.min(MAX_RANKED_POINTS, this.points.length);
    const start = this.lowerBound(hash32(key));
    const ranked: RankedAddress[] = [];
    for (let offset = 0; offset < pointCount; offset += 1) {
      const point = this.points[(start + offset) % this.points.length];
      if (point === undefined) continue;
      const rank = hash32(`${key} ${point.address}`);
      ranked.push({ address: point.address, rank });
    }
    ranked.sort((left, right) => right.rank - left.rank);
    return ranked.slice(0, count).map(entry => entry.address);
  }

  /** Returns the index of the first point at or after the position. */
  private lowerBound(position: number): number {
    let low = 0;
    let high = this.points.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const point = this.points[middle];
      if (point !== undefined && point.position < position) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
