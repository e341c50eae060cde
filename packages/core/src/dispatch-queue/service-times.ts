/** Weight of the newest response in the average of its route. */
const AVERAGE_WEIGHT = 0.1; // averages about the last ten responses
/** Number of routes from which the oldest is forgotten. */
const MAX_ROUTES = 1_024;

/** Moving average of the time from sending a request to its response or first event, by route. */
export class ServiceTimes {
  private readonly averageMs = new Map<string, number>();

  /** Returns the expected time; 0 if nothing is known, so that the request counts as useful. */
  expectedMs(route: string): number {
    return this.averageMs.get(route) ?? 0;
  }

  record(route: string, serviceMs: number): void {
    const previousMs = this.averageMs.get(route) ?? serviceMs;
    this.averageMs.delete(route);
    const [oldest] = this.averageMs.keys();
    if (this.averageMs.size >= MAX_ROUTES && oldest !== undefined)
      this.averageMs.delete(oldest);
    const change = AVERAGE_WEIGHT * (serviceMs - previousMs);
    this.averageMs.set(route, previousMs + change);
  }
}
