import type { SwimMembership } from '@skylarkreach/core/membership';
import type { Clock, Cloud } from '@skylarkreach/core/ports';

const CALL_TIMEOUT_MS = 1_500;
const MIN_INTERVAL_MS = 5_000;
const LONELY_INTERVAL_MS = 1_000;
/** Time between two reads for each daemon on the list, so that long lists are read seldom. */
const INTERVAL_PER_DAEMON_MS = 300;

/** Reads the daemons to probe from the platform's list. */
export class ListingSeed {
  private listed = 0;
  private nextReadAtMs = 0;

  constructor(
    private readonly cloud: Cloud,
    private readonly membership: SwimMembership,
    private readonly clock: Clock,
  ) {}

  async readNow(): Promise<void> {
    const nowMs = this.clock.nowMs();
    this.nextReadAtMs = nowMs + LONELY_INTERVAL_MS;
    const listing = await this.cloud.list(nowMs + CALL_TIMEOUT_MS);
    const daemons = listing.daemons ?? [];
    this.listed = daemons.length;
    this.membership.applyListing(daemons, this.clock.nowMs());
    if (this.membership.live().length === 0) return;
    const pacedMs = this.listed * INTERVAL_PER_DAEMON_MS;
    this.nextReadAtMs = nowMs + Math.max(MIN_INTERVAL_MS, pacedMs);
  }

  /** Time at which the list is due again. */
  nextAtMs(): number {
    return this.nextReadAtMs;
  }
}
