const BASE_DELAY_MS = 50;
const MAX_DELAY_MS = 1_000;

/**
 * Round-robin over daemon addresses. The first pass over all addresses has no
 * delay; after that, exponential backoff with jitter applies until a success.
 */
export class AddressRotation {
  private index = 0;
  private consecutiveFailures = 0;

  constructor(private readonly addresses: readonly string[]) {
    if (addresses.length === 0) {
      throw new RangeError(
        'No address was given; pass the address of at least one daemon.',
      );
    }
  }

  get current(): string {
    return this.addresses[this.index] ?? '';
  }

  /** Resets the backoff. */
  recordSuccess(): void {
    this.consecutiveFailures = 0;
  }

  /** Advances to the next address. Returns the delay before it is tried, in milliseconds, with jitter. */
  advanceAfterFailure(): number {
    this.index = (this.index + 1) % this.addresses.length;
    this.consecutiveFailures += 1;
    const failedRounds = Math.floor(
      this.consecutiveFailures / this.addresses.length,
    );
    if (failedRounds === 0) return 0;
    const maxDelayMs = Math.min(
      BASE_DELAY_MS * 2 ** failedRounds,
      MAX_DELAY_MS,
    );
    return maxDelayMs * (0.5 + Math.random() / 2);
  }
}
