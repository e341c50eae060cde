import type { SwimMembership } from '@skylarkreach/core/membership';
import type { Clock, Cloud, DaemonIdentity } from '@skylarkreach/core/ports';

const CALL_TIMEOUT_MS = 1_500;
const MIN_INTERVAL_MS = 5_000;
const LONELY_INTERVAL_MS = 1_000;
/** Time between two reads for each daemon on the list, so that long lists are read seldom. */
const INTERVAL_PER_DAEMON_MS = 300;

/** Lists daemons that may be alive. */
export interface SeedSource {
  /** Throws `PlatformError`. */
  daemons(deadlineAtMs: number): Promise<readonly DaemonIdentity[]>;
}

/** The platform's list of daemons. */
export class CloudSeedSource implements SeedSource {
  constructor(private readonly cloud: Cloud) {}

  async daemons(deadlineAtMs: number): Promise<readonly DaemonIdentity[]> {
    return (await this.cloud.list(deadlineAtMs)).daemons ?? [];
  }
}

/** Reads the daemons to probe from a list that may be stale. */
export class ListingSeed {
  private listed = 0;
  private nextReadAtMs = 0;

  constructor(
    private readonly source: SeedSource,
    private readonly membership: SwimMembership,
    private readonly clock: Clock,
  ) {}

  async readNow(): Promise<void> {
    const nowMs = this.clock.nowMs();
    this.nextReadAtMs = nowMs + LONELY_INTERVAL_MS;
    const daemons = await this.source.daemons(nowMs + CALL_TIMEOUT_MS);
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
