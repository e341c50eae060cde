import type { Address, Endpoint, Random } from '../ports/index.js';
import { HashRing } from './hash-ring.js';

/**
 * Endpoints that accept new work for one group. Adding or removing an endpoint
 * takes time linear in the size of the group; choosing one does not depend on it.
 */
export class CandidateGroup {
  private readonly members: Endpoint[] = [];
  private readonly positions = new Map<Address, number>();
  private readonly ring = new HashRing();

  get size(): number {
    return this.members.length;
  }

  endpoints(): readonly Endpoint[] {
    return this.members;
  }

  get(address: Address): Endpoint | undefined {
    const position = this.positions.get(address);
    return position === undefined ? undefined : this.members[position];
  }

  /** Adds the endpoint, or replaces the one with the same address. */
  set(endpoint: Endpoint): void {
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

  pickRandom(random: Random): Endpoint | undefined {
    return this.members[random.nextInteger(this.members.length)];
  }

  /**
   * Returns up to `count` endpoints that the key hashes to, in order of preference.
   * Daemons that know the same endpoints get the same result.
   */
  affinityEndpoints(key: string, count: number): readonly Endpoint[] {
    return this.ring
      .highestRanked(key, count)
      .map(address => this.get(address))
      .filter(endpoint => endpoint !== undefined);
  }
}
