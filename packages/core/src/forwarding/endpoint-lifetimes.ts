import type { EndpointRecord } from './endpoint-record.js';

/** Attempt in progress at one lifetime of an endpoint. */
interface WatchedAttempt {
  readonly endpoint: EndpointRecord;
  readonly sentAtMs: number;
  readonly ended: AbortController;
}

export interface LifetimeWatch {
  /** Aborted once the endpoint's lifetime is known to be over, and with it the attempt. */
  readonly signal: AbortSignal;
  readonly stop: () => void;
}

/** Difference between clocks up to which a request may have been sent to the lifetime that began about then. */
const CLOCK_TOLERANCE_MS = 500;

/**
 * Tells attempts that the endpoint has lost them, as a later lifetime, of the same
 * endpoint or another one, has its address. An entry that is merely gone proves
 * nothing: the endpoint may go on with what it has.
 */
export class EndpointLifetimes {
  private readonly attempts = new Set<WatchedAttempt>();

  /** `timeMs` returns the milliseconds since the Unix epoch on which most daemons agree. */
  constructor(private readonly timeMs: () => number) {}

  watch(endpoint: EndpointRecord): LifetimeWatch {
    const ended = new AbortController();
    const attempt = { endpoint, sentAtMs: this.timeMs(), ended };
    this.attempts.add(attempt);
    const stop = () => {
      this.attempts.delete(attempt);
    };
    return { signal: ended.signal, stop };
  }

  applyListing(endpoints: readonly EndpointRecord[]): void {
    if (this.attempts.size === 0) return;
    const usedAddresses = new Set(
      [...this.attempts].map(({ endpoint }) => endpoint.address),
    );
    const successors = endpoints.filter(each =>
      usedAddresses.has(each.address),
    );
    const listedIds = new Set(successors.map(({ id }) => id));
    for (const attempt of this.attempts) {
      const isListed = listedIds.has(attempt.endpoint.id);
      if (successors.some(each => isSuccessor(each, attempt, isListed)))
        attempt.ended.abort();
    }
  }

  /** Records that another endpoint answered on the address of this one. */
  recordReplaced({ address, id }: EndpointRecord): void {
    for (const { endpoint, ended } of this.attempts) {
      if (endpoint.id === id && endpoint.address === address) ended.abort();
    }
  }
}

/** Whether an endpoint began at the attempt's address after the attempt was sent there. */
function isSuccessor(
  { address, bornAtMs, id }: EndpointRecord,
  { endpoint, sentAtMs }: WatchedAttempt,
  isStillListed: boolean,
): boolean {
  if (address !== endpoint.address) return false;
  const isOther = id !== endpoint.id;
  if (bornAtMs === undefined || endpoint.bornAtMs === undefined)
    return isOther && !isStillListed;
  if (bornAtMs <= endpoint.bornAtMs) return false;
  // Another endpoint would not have accepted the request.
  return isOther || sentAtMs + CLOCK_TOLERANCE_MS < bornAtMs;
}
