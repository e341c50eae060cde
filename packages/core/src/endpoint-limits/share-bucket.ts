import type { KnownDaemons } from '../membership/index.js';
import type { LimitShare } from './limit-share.js';
import { NO_SHARE } from './limit-share.js';

const MS_PER_SECOND = 1_000;

export interface ShareBucketDependencies {
  readonly nowMs: () => number;
  readonly daemons: KnownDaemons;
  /** Returns this daemon's share among the daemons that count, of which there is at least one. */
  readonly shareAmong: (daemonIds: readonly string[]) => LimitShare;
}

/** Token bucket with this daemon's share of a limit on all daemons together. It is empty at first. */
export class ShareBucket {
  /** Requests that this daemon may send now. */
  private tokens = 0;
  /** Requests that were taken and are yet to be sent; what they need does not accrue again before. */
  private held = 0;
  private refilledAtMs: number;
  /** Daemons for which `share` was computed. */
  private daemonIds: readonly string[] = [];
  private share = NO_SHARE;

  constructor(private readonly deps: ShareBucketDependencies) {
    this.refilledAtMs = deps.nowMs();
  }

  get sharePerSecond(): number {
    return this.share.perSecond;
  }

  /** Number of daemons that the limit is divided among. */
  get daemonCount(): number {
    return this.daemonIds.length;
  }

  /** Empties the bucket. */
  reset(): void {
    this.tokens = 0;
    this.refilledAtMs = this.deps.nowMs();
  }

  /** Fills the bucket, for a limit that no request has used yet. */
  fill(): void {
    this.tokens = Infinity; // as much as the share allows, when that is known
  }

  /** Computes the share again, as the limit has changed. */
  updateShare(daemonIds = this.deps.daemons.ids()): void {
    this.daemonIds = daemonIds;
    this.share =
      daemonIds.length === 0 ? NO_SHARE : this.deps.shareAmong(daemonIds);
  }

  /** Returns the milliseconds until this daemon may send a request: 0 if it may now, Infinity if it has no share. */
  waitMs(): number {
    this.refill();
    if (this.tokens >= 1) return 0;
    if (this.share.perSecond === 0) return Infinity;
    return ((1 - this.tokens) / this.share.perSecond) * MS_PER_SECOND;
  }

  /** Counts a request that is sent now. */
  take(): void {
    this.refill();
    this.tokens = Math.max(0, this.tokens - 1);
  }

  /** Takes a request that is sent later, and ends with `spend` or `release`. */
  hold(): void {
    this.take();
    this.held += 1;
  }

  /** Counts a held request that is sent now. */
  spend(): void {
    this.refill();
    this.held -= 1;
  }

  /** Returns a held request that is not sent. */
  release(): void {
    this.spend();
    this.tokens += 1;
    this.refill();
  }

  private refill(): void {
    const nowMs = this.deps.nowMs();
    const daemonIds = this.deps.daemons.ids();
    if (daemonIds !== this.daemonIds) this.updateShare(daemonIds);
    const { burst, perSecond } = this.share;
    const elapsedMs = Math.max(0, nowMs - this.refilledAtMs);
    const added = (elapsedMs * perSecond) / MS_PER_SECOND;
    const capacity = Math.max(0, burst - this.held);
    this.tokens = Math.min(capacity, this.tokens + added);
    this.refilledAtMs = nowMs;
  }
}
