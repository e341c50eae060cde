import type { Workspace } from '../ports/index.js';

/** Tokens that one daemon has granted to each workspace since its process started. */
export type GrantedTokens = Readonly<Record<Workspace, number>>;

/** What one run of a daemon's process has granted. */
export interface LifetimeGrants {
  readonly lifetime: string;
  /** Time since the process started. */
  readonly ageMs: number;
  readonly granted: GrantedTokens;
}

/** Tokens granted to a workspace since something was last known of it. */
export interface GrantNews {
  readonly workspace: Workspace;
  readonly tokens: number;
  readonly sinceMs: number;
}

/** Tokens that a peer has granted to a workspace, as told last by itself or by others. */
interface PeerTotal {
  readonly tokens: number;
  readonly heardAtMs: number;
  readonly changedAtMs: number;
}

interface PeerGrants {
  readonly startedAtMs: number;
  /** Time at which the peer was first heard of, or heard itself last. */
  heardAtMs: number;
  /** Whether the peer itself was heard, which tells the totals of all workspaces. */
  isHeardDirectly: boolean;
  readonly totals: Map<Workspace, PeerTotal>;
}

/** Time after which a peer that was not heard itself is forgotten. */
const RETENTION_MS = 120_000;

/** What peers have granted, as totals since the start of each lifetime. */
export class PeerTotals {
  private readonly peers = new Map<string, PeerGrants>();

  /** @param startedAtMs Start of this daemon's process. */
  constructor(private readonly startedAtMs: number) {}

  /** Records what a peer tells of its own grants; returns what is new. */
  applyOwn(grants: LifetimeGrants, nowMs: number): readonly GrantNews[] {
    const peer = this.peerOf(grants, nowMs);
    const news = this.apply(peer, grants, nowMs);
    peer.heardAtMs = nowMs;
    peer.isHeardDirectly = true;
    return news;
  }

  /** Records what others tell of a peer's grants to some workspaces; returns what is new. */
  applyPassedOn(grants: LifetimeGrants, nowMs: number): readonly GrantNews[] {
    return this.apply(this.peerOf(grants, nowMs), grants, nowMs);
  }

  /** Returns the totals of grants to some workspaces that changed after a time. */
  changedTotals(
    workspaces: readonly Workspace[],
    afterMs: number,
    nowMs: number,
  ): readonly LifetimeGrants[] {
    const changed: LifetimeGrants[] = [];
    for (const [lifetime, { startedAtMs, totals }] of this.peers) {
      const granted: Record<Workspace, number> = {};
      for (const workspace of workspaces) {
        const total = totals.get(workspace);
        if (total !== undefined && total.changedAtMs > afterMs)
          granted[workspace] = total.tokens;
      }
      const ageMs = Math.max(0, nowMs - startedAtMs);
      if (Object.keys(granted).length > 0)
        changed.push({ lifetime, ageMs, granted });
    }
    return changed;
  }

  /** Drops the state of peers of which nothing was heard for long. */
  forgetSilent(nowMs: number): void {
    for (const [lifetime, { heardAtMs }] of this.peers) {
      if (nowMs - heardAtMs > RETENTION_MS) this.peers.delete(lifetime);
    }
  }

  private peerOf(
    { ageMs, lifetime }: LifetimeGrants,
    nowMs: number,
  ): PeerGrants {
    const peer = this.peers.get(lifetime) ?? {
      startedAtMs: nowMs - ageMs,
      heardAtMs: nowMs,
      isHeardDirectly: false,
      totals: new Map<Workspace, PeerTotal>(),
    };
    this.peers.set(lifetime, peer);
    return peer;
  }

  /**
   * Of the first totals, the part counts that falls into the time for which this
   * daemon has run, as if they had been granted evenly.
   */
  private apply(
    peer: PeerGrants,
    { ageMs, granted }: LifetimeGrants,
    nowMs: number,
  ): readonly GrantNews[] {
    const { heardAtMs, isHeardDirectly, startedAtMs, totals } = peer;
    const firstShare = isHeardDirectly ? 1 : this.commonShare(ageMs, nowMs);
    const firstSinceMs = isHeardDirectly
      ? heardAtMs
      : Math.max(startedAtMs, this.startedAtMs);
    const news: GrantNews[] = [];
    for (const [workspace, tokens] of Object.entries(granted)) {
      const last = totals.get(workspace);
      if (last !== undefined && last.tokens > tokens) continue;
      const changedAtMs = last?.tokens === tokens ? last.changedAtMs : nowMs;
      totals.set(workspace, { tokens, heardAtMs: nowMs, changedAtMs });
      const added =
        last === undefined ? tokens * firstShare : tokens - last.tokens;
      const sinceMs = last?.heardAtMs ?? firstSinceMs;
      if (added > 0) news.push({ workspace, tokens: added, sinceMs });
    }
    return news;
  }

  /** Returns the share of a peer's lifetime for which this daemon has run. */
  private commonShare(peerAgeMs: number, nowMs: number): number {
    const ownAgeMs = nowMs - this.startedAtMs;
    return peerAgeMs <= ownAgeMs ? 1 : ownAgeMs / peerAgeMs;
  }
}
