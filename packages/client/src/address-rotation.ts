const BASE_DELAY_MS = 50;
const MAX_DELAY_MS = 1_000;

/**
 * Round-robin over daemon addresses. The first pass over all addresses has no
 * delay; after that, exponential backoff with jitter applies until a success.
 */
export class AddressRotation {
  private index = 0;
  private failures = 0;

  constructor(private readonly addresses: readonly string[]) {
    if (addresses.length === 0) {
      throw new RangeError('No address was given; name at least one daemon.');
    }
  }

  get current(): string {
    return this.addresses[this.index] ?? '';
  }

  /** Resets the backoff. */
  recordSuccess(): void {
    this.failures = 0;
  }

  /** Advances to the next address. Returns the delay in milliseconds before it is tried, with jitter. */
  advanceAfterFailure(): number {
    this.index = (this.index + 1) % this.addresses.length;
    this.failures += 1;
    const failedRounds = Math.floor(this.failures / this.addresses.length);
    if (failedRounds === 0) return 0;
    const limitMs = Math.min(BASE_DELAY_MS * 2 ** failedRounds, MAX_DELAY_MS);
    return limitMs * (0.5 + Math.random() / 2);
  }
}
