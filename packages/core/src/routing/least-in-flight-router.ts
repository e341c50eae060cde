import type { Address, Endpoint, Random } from '../ports/index.js';
import { EndpointTable } from './endpoint-table.js';
import type { Attempt, LeavingSource, Router, RouteRequest } from './router.js';

/** Chooses the endpoint with the fewest of this daemon's own attempts, ties at random. */
export class LeastInFlightRouter implements Router {
  private readonly table = new EndpointTable();
  private readonly inFlight = new Map<Address, number>();

  constructor(private readonly random: Random) {}

  choose(request: RouteRequest): Endpoint | undefined {
    const candidates = this.table
      .ready(request.group, request.version)
      .filter(endpoint => !request.excluded.has(endpoint.address));
    const outside = candidates.filter(
      endpoint => !request.avoidedDataCentres.has(endpoint.dataCentre),
    );
    return this.leastLoaded(outside.length > 0 ? outside : candidates);
  }

  recordDispatch(attempt: Attempt): void {
    this.inFlight.set(attempt.address, this.count(attempt.address) + 1);
  }

  recordEnd(attempt: Attempt): void {
    this.inFlight.set(attempt.address, this.count(attempt.address) - 1);
  }

  applyListing(endpoints: readonly Endpoint[], asOfMs: number): void {
    this.table.applyListing(endpoints, asOfMs);
  }

  applyLoad(): void {
    // Only this daemon's own attempts count here.
  }

  applyCacheEvents(): void {
    // The prefix cache plays no part in this choice.
  }

  markLeaving(address: Address, _source: LeavingSource, nowMs: number): void {
    this.table.markLeaving(address, nowMs);
  }

  endpoints(): readonly Endpoint[] {
    return this.table.all();
  }

  private count(address: Address): number {
    return this.inFlight.get(address) ?? 0;
  }

  private leastLoaded(candidates: readonly Endpoint[]): Endpoint | undefined {
    const counts = candidates.map(endpoint => this.count(endpoint.address));
    const least = Math.min(...counts);
    const best = candidates.filter(
      endpoint => this.count(endpoint.address) === least,
    );
    return best[this.random.nextInteger(best.length)];
  }
}
