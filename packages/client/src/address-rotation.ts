const FIRST_DELAY_MS = 50;
const MAX_DELAY_MS = 1_000;

/** Addresses that are tried in turn, with a delay that grows while all fail. */
export class AddressRing {
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

  recordSuccess(): void {
    this.failures = 0;
  }

  /** Moves on to the next address; returns the delay before it is tried, with jitter. */
  nextAfterFailure(): number {
    this.index = (this.index + 1) % this.addresses.length;
    this.failures += 1;
    const rounds = Math.floor(this.failures / this.addresses.length);
    if (rounds === 0) return 0;
    const limitMs = Math.min(FIRST_DELAY_MS * 2 ** rounds, MAX_DELAY_MS);
    return limitMs * (0.5 + Math.random() / 2);
  }
}
