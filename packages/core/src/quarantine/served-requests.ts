/** Time from a supposed crash within which a request must have been sent whose completion refutes it. */
export const REFUTATION_MS = 2_000; // an endpoint that did crash takes longer to start again
/** Times of sending that are remembered of one endpoint, and the least time between two of them. */
const MAX_TIMES = 4;
const MIN_SPACING_MS = 500; // with the number above, they cover as long as a crash can be refuted
/** Number of endpoints that are remembered. */
const MAX_ENDPOINTS = 12_000; // bounds memory to about 2 MB

/**
 * When endpoints were sent requests that they completed. Meant for some requests a
 * second at each of up to 12,000 endpoints. Requests sent before a crash do not show
 * that the endpoint survived it: a daemon that is late reads their responses afterwards.
 */
export class ServedRequests {
  /** Times in ascending order, those of the endpoint that was unused for longest first. */
  private readonly sentAtMs = new Map<string, readonly number[]>();

  record(endpointId: string, sentAtMs: number): void {
    const known = this.sentAtMs.get(endpointId) ?? [];
    if (sentAtMs < (known.at(-1) ?? -Infinity) + MIN_SPACING_MS) return;
    this.sentAtMs.delete(endpointId);
    this.sentAtMs.set(endpointId, [...known, sentAtMs].slice(-MAX_TIMES));
    if (this.sentAtMs.size <= MAX_ENDPOINTS) return;
    const [unusedId = ''] = this.sentAtMs.keys();
    this.sentAtMs.delete(unusedId);
  }

  /** Whether the endpoint completed a request that was sent right after a time. */
  refutes(endpointId: string, crashedAtMs: number): boolean {
    const known = this.sentAtMs.get(endpointId) ?? [];
    return known.some(
      each => each > crashedAtMs && each <= crashedAtMs + REFUTATION_MS,
    );
  }
}
