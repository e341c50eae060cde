/** Weight of a response that was faster than expected. */
const FASTER_WEIGHT = 0.2;
/** Weight of a response that was slower: the estimate settles near the fastest tenth. */
const SLOWER_WEIGHT = 0.02;
/** Number of routes from which the oldest is forgotten. */
const MAX_ROUTES = 1_024; // bounds memory to some 100 kB

/**
 * Low estimate of the time from sending a request to its response or first event,
 * by route: a request counts as late, or is refused, only where even a fast
 * response would be too late. With the mean, one slow phase made the most urgent
 * kind count as late, which then waited behind all others.
 */
export class ServiceTimes {
  private readonly lowMs = new Map<string, number>();

  /** Returns the estimate; 0 if nothing is known, so that the request counts as useful. */
  expectedMs(route: string): number {
    return this.lowMs.get(route) ?? 0;
  }

  record(route: string, serviceMs: number): void {
    const previousMs = this.lowMs.get(route) ?? serviceMs;
    this.lowMs.delete(route);
    const [oldest] = this.lowMs.keys();
    if (this.lowMs.size >= MAX_ROUTES && oldest !== undefined)
      this.lowMs.delete(oldest);
    const weight = serviceMs < previousMs ? FASTER_WEIGHT : SLOWER_WEIGHT;
    this.lowMs.set(route, previousMs + weight * (serviceMs - previousMs));
  }
}
