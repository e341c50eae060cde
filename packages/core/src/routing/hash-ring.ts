import type { Address } from '../ports/index.js';
import { hash32 } from './hash.js';

const NEIGHBOURS = 32;

interface RingPoint {
  readonly position: number;
  readonly address: Address;
}

interface RankedAddress {
  readonly address: Address;
  readonly rank: number;
}

/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998) among the addresses that
 * follow the key on a hash ring. A look-up costs the same for any number of
 * addresses, every daemon finds the same ones for a key, and a change of one
 * address moves few keys.
 */
export class HashRing {
  private readonly points: RingPoint[] = [];

  add(address: Address): void {
    const position = hash32(address);
    this.points.splice(this.firstAtOrAfter(position), 0, { position, address });
  }

  remove(address: Address): void {
    const index = this.points.findIndex(point => point.address === address);
    if (index >= 0) this.points.splice(index, 1);
  }

  /** Up to `count` addresses for the key, the highest rank first. */
  nearest(key: string, count: number): readonly Address[] {
    const neighbours = Math.min(NEIGHBOURS, this.points.length);
    const start = this.firstAtOrAfter(hash32(key));
    const ranked: RankedAddress[] = [];
    for (let step = 0; step < neighbours; step += 1) {
      const point = this.points[(start + step) % this.points.length];
      if (point === undefined) continue;
      const rank = hash32(`${key} ${point.address}`);
      ranked.push({ address: point.address, rank });
    }
    ranked.sort((left, right) => right.rank - left.rank);
    return ranked.slice(0, count).map(each => each.address);
  }

  private firstAtOrAfter(position: number): number {
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
