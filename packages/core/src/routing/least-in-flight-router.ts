import type { Address, Endpoint, Random } from '../ports/index.js';
import { EndpointTable } from './endpoint-table.js';
import type { Attempt, LeavingSource, Router, RouteRequest } from './router.js';

/** Router that chooses the endpoint with the fewest in-flight attempts of this daemon, breaking ties at random. */
export class LeastInFlightRouter implements Router {
  private readonly table = new EndpointTable();
  private readonly inFlightByAddress = new Map<Address, number>();

  constructor(private readonly random: Random) {}

  choose(request: RouteRequest): Endpoint | undefined {
    const candidates = this.table
      .readyEndpoints(request.group, request.version)
      .filter(endpoint => !request.excluded.has(endpoint.address));
    const preferred = candidates.filter(
      endpoint => !request.avoidedDataCentres.has(endpoint.dataCentre),
    );
    return this.chooseLeastLoaded(
      preferred.length > 0 ? preferred : candidates,
    );
  }

  recordDispatch(attempt: Attempt): void {
    this.inFlightByAddress.set(
      attempt.address,
      this.inFlightOf(attempt.address) + 1,
    );
  }

  recordEnd(attempt: Attempt): void {
    const { address } = attempt;
    const remaining = this.inFlightOf(address) - 1;
    if (remaining > 0) this.inFlightByAddress.set(address, remaining);
    else this.inFlightByAddress.delete(address);
  }

  applyListing(endpoints: readonly Endpoint[], asOfMs: number): void {
    this.table.applyListing(endpoints, asOfMs);
  }

  applyLoad(): void {
    // Load reports are not used: only this daemon's own attempts count.
  }

  applyCacheEvents(): void {
    // The prefix cache is not used.
  }

  markLeaving(address: Address, _source: LeavingSource, nowMs: number): void {
    this.table.markLeaving(address, nowMs);
  }

  /** Number of endpoints with attempts of this daemon in flight. */
  get busyEndpointCount(): number {
    return this.inFlightByAddress.size;
  }

  endpoints(): readonly Endpoint[] {
    return this.table.all();
  }

  private inFlightOf(address: Address): number {
    return this.inFlightByAddress.get(address) ?? 0;
  }

  private chooseLeastLoaded(
    candidates: readonly Endpoint[],
  ): Endpoint | undefined {
    const counts = candidates.map(endpoint =>
      this.inFlightOf(endpoint.address),
    );
    const minCount = Math.min(...counts);
    const leastLoaded = candidates.filter(
      endpoint => this.inFlightOf(endpoint.address) === minCount,
    );
    return leastLoaded[this.random.nextInteger(leastLoaded.length)];
  }
}
