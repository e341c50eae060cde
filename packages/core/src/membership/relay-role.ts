import type { DaemonIdentity } from '../ports/index.js';
import { rankDaemons } from './rendezvous.js';

/** Relays of each data centre while all is well. */
export const RELAYS_PER_DATA_CENTRE = 2;
const STANDBYS = 2;

/** Time between the heartbeats of the first standby; the next one sends half as many. */
const HEARTBEAT_INTERVAL_MS = 1_000; // a lost relay is replaced within 2 s
const HEARTBEAT_RETRY_MS = 100;
const HEARTBEAT_TIMEOUT_MS = 400;
/** Failed heartbeats in a row after which a relay counts as lost. */
const LOST_AFTER = 2;

/** Heartbeat to a relay; a repeated one goes over a new connection. */
export interface HeartbeatAction {
  readonly target: DaemonIdentity;
  readonly deadlineAtMs: number;
}

interface RelayLink {
  nextAtMs: number;
  failures: number;
}

/**
 * Decides whether this daemon watches the key-value service for its data
 * centre. Rank by rendezvous hashing names relays and standbys; a standby acts
 * while a relay gives it no heartbeat. Two acting at once costs calls, nothing else.
 */
export class RelayRole {
  private readonly links = new Map<string, RelayLink>();
  private ranked: readonly DaemonIdentity[] = [];

  constructor(private readonly self: DaemonIdentity) {}

  /** Takes the live daemons that relays are chosen from; none where this daemon's cell holds no relays. */
  setCandidates(peers: readonly DaemonIdentity[], holdsRelays: boolean): void {
    const purpose = `relay/${this.self.dataCentre}`;
    this.ranked = holdsRelays
      ? rankDaemons(purpose, [this.self, ...peers])
      : [];
  }

  /** Heartbeats that a standby sends now. */
  tick(nowMs: number): readonly HeartbeatAction[] {
    const relays = this.watchedRelays();
    const intervalMs =
      HEARTBEAT_INTERVAL_MS * (this.ownRank() - RELAYS_PER_DATA_CENTRE + 1);
    const ids = new Set(relays.map(each => each.id));
    for (const id of this.links.keys()) if (!ids.has(id)) this.links.delete(id);
    return relays
      .filter(relay => this.linkTo(relay, nowMs).nextAtMs <= nowMs)
      .map(target => {
        this.linkTo(target, nowMs).nextAtMs = nowMs + intervalMs;
        return { target, deadlineAtMs: nowMs + HEARTBEAT_TIMEOUT_MS };
      });
  }

  answered(relayId: string): void {
    const link = this.links.get(relayId);
    if (link !== undefined) link.failures = 0;
  }

  failed(relayId: string, nowMs: number): void {
    const link = this.links.get(relayId);
    if (link === undefined) return;
    link.failures += 1;
    if (link.failures < LOST_AFTER) link.nextAtMs = nowMs + HEARTBEAT_RETRY_MS;
  }

  /** Whether this daemon watches the key-value service now. */
  isActing(): boolean {
    const rank = this.ownRank();
    if (rank < 0) return false;
    const ahead = this.ranked.slice(0, rank);
    const working = ahead.filter(each => !this.isLost(each.id));
    return (
      rank < RELAYS_PER_DATA_CENTRE + STANDBYS &&
      working.length < RELAYS_PER_DATA_CENTRE
    );
  }

  private isLost(id: string): boolean {
    return (this.links.get(id)?.failures ?? 0) >= LOST_AFTER;
  }

  private ownRank(): number {
    return this.ranked.findIndex(each => each.id === this.self.id);
  }

  private watchedRelays(): readonly DaemonIdentity[] {
    const rank = this.ownRank();
    const isStandby =
      rank >= RELAYS_PER_DATA_CENTRE &&
      rank < RELAYS_PER_DATA_CENTRE + STANDBYS;
    return isStandby ? this.ranked.slice(0, RELAYS_PER_DATA_CENTRE) : [];
  }

  private linkTo(relay: DaemonIdentity, nowMs: number): RelayLink {
    const known = this.links.get(relay.id);
    if (known !== undefined) return known;
    const link = { nextAtMs: nowMs, failures: 0 };
    this.links.set(relay.id, link);
    return link;
  }
}
