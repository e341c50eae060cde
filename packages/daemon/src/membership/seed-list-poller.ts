import type { SwimMembership } from '@skylarkreach/core/membership';
import type {
  Clock,
  CloudClient,
  DaemonIdentity,
} from '@skylarkreach/core/ports';

const CALL_TIMEOUT_MS = 1_500;
const MIN_INTERVAL_MS = 5_000;
const NO_LIVE_PEERS_INTERVAL_MS = 1_000;
/** Read interval for each listed daemon, so that long lists are read less often. */
const INTERVAL_PER_DAEMON_MS = 4_000; // all daemons together read about once in 4 s, which bounds the time until a healed partition is noticed

/** Source of seed daemons: daemons that may be alive. */
export interface SeedSource {
  /** Returns the seed daemons. Throws `PlatformError`. */
  daemons(deadlineAtMs: number): Promise<readonly DaemonIdentity[]>;
}

/** Seed source that reads the platform's list of daemons. */
export class CloudSeedSource implements SeedSource {
  constructor(private readonly cloud: CloudClient) {}

  async daemons(deadlineAtMs: number): Promise<readonly DaemonIdentity[]> {
    return (await this.cloud.list(deadlineAtMs)).daemons ?? [];
  }
}

/** Polls a seed list, which may be stale, and adds its daemons to the members to probe. */
export class SeedListPoller {
  private listedCount = 0;
  private nextReadAtMs = 0;

  constructor(
    private readonly source: SeedSource,
    private readonly membership: SwimMembership,
    private readonly clock: Clock,
  ) {}

  /** Reads the list now and schedules the next read: sooner where no peer is live. */
  async refresh(): Promise<void> {
    const nowMs = this.clock.nowMs();
    this.nextReadAtMs = nowMs + NO_LIVE_PEERS_INTERVAL_MS;
    const daemons = await this.source.daemons(nowMs + CALL_TIMEOUT_MS);
    this.listedCount = daemons.length;
    this.membership.applyListing(daemons, this.clock.nowMs());
    if (this.membership.live().length === 0) return;
    const scaledIntervalMs = this.listedCount * INTERVAL_PER_DAEMON_MS;
    this.nextReadAtMs = nowMs + Math.max(MIN_INTERVAL_MS, scaledIntervalMs);
  }

  /** Returns the time of the next read. */
  nextAtMs(): number {
    return this.nextReadAtMs;
  }
}
