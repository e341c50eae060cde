import type { Address, Endpoint, Random } from '../ports/index.js';
import { HashRing } from './hash-ring.js';

/**
 * Endpoints that take new work for one group. Changes cost time with its size;
 * a pick does not.
 */
export class CandidateGroup {
  private readonly members: Endpoint[] = [];
  private readonly positions = new Map<Address, number>();
  private readonly ring = new HashRing();

  get size(): number {
    return this.members.length;
  }

  all(): readonly Endpoint[] {
    return this.members;
  }

  get(address: Address): Endpoint | undefined {
    const position = this.positions.get(address);
    return position === undefined ? undefined : this.members[position];
  }

  /** Adds the endpoint, or replaces what is known of its address. */
  put(endpoint: Endpoint): void {
    const position = this.positions.get(endpoint.address);
    if (position !== undefined) {
      this.members[position] = endpoint;
      return;
    }
    this.positions.set(endpoint.address, this.members.length);
    this.members.push(endpoint);
    this.ring.add(endpoint.address);
  }

  remove(address: Address): void {
    const position = this.positions.get(address);
    if (position === undefined) return;
    this.positions.delete(address);
    this.ring.remove(address);
    const last = this.members.pop();
    if (last === undefined || last.address === address) return;
    this.members[position] = last;
    this.positions.set(last.address, position);
  }

  random(random: Random): Endpoint | undefined {
    return this.members[random.nextInteger(this.members.length)];
  }

  /** Endpoints that every daemon finds for the key, the first choice first. */
  homes(key: string, count: number): readonly Endpoint[] {
    return this.ring
      .nearest(key, count)
      .map(address => this.get(address))
      .filter(endpoint => endpoint !== undefined);
  }
}
