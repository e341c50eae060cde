import type { DaemonIdentity } from '../ports/index.js';
import { rankDaemons } from './rendezvous.js';

/** Number of active relays per data centre while no relay fails. */
export const RELAYS_PER_DATA_CENTRE = 2;
const STANDBYS_PER_DATA_CENTRE = 2;

/** Heartbeat interval of the first standby; the second standby uses twice the interval. */
const HEARTBEAT_INTERVAL_MS = 1_000; // a failed relay is replaced within 2 s
const HEARTBEAT_RETRY_MS = 100;
const HEARTBEAT_TIMEOUT_MS = 400;
/** Consecutive failed heartbeats after which a relay is considered unavailable. */
const MAX_CONSECUTIVE_FAILURES = 2;

/** Heartbeat to send to a relay. A retry uses a new connection. */
export interface HeartbeatAction {
  readonly target: DaemonIdentity;
  readonly deadlineAtMs: number;
}

interface HeartbeatState {
  nextAtMs: number;
  consecutiveFailures: number;
}

/**
 * Decides whether this daemon acts as a relay, which watches the key-value
 * service for its data centre. Relays and standbys are chosen by rendezvous rank;
 * a standby takes over while a relay does not answer its heartbeats. More active
 * relays than needed cause additional calls but no inconsistency.
 */
export class RelayRole {
  private readonly heartbeats = new Map<string, HeartbeatState>();
  private rankedCandidates: readonly DaemonIdentity[] = [];

  constructor(private readonly self: DaemonIdentity) {}

  /**
   * Sets the live daemons from which the relays are chosen. There are no candidates
   * when the data centre's relays belong to another cell.
   */
  setCandidates(peers: readonly DaemonIdentity[], isRelayCell: boolean): void {
    const purpose = `relay/${this.self.dataCentre}`;
    this.rankedCandidates = isRelayCell
      ? rankDaemons(purpose, [this.self, ...peers])
      : [];
  }

  /** Returns the heartbeats that are due now. Only standbys send heartbeats. */
  tick(nowMs: number): readonly HeartbeatAction[] {
    const relays = this.monitoredRelays();
    const intervalMs =
      HEARTBEAT_INTERVAL_MS * (this.ownRank() - RELAYS_PER_DATA_CENTRE + 1);
    const ids = new Set(relays.map(relay => relay.id));
    for (const id of this.heartbeats.keys())
      if (!ids.has(id)) this.heartbeats.delete(id);
    return relays
      .filter(relay => this.heartbeatStateOf(relay, nowMs).nextAtMs <= nowMs)
      .map(target => {
        this.heartbeatStateOf(target, nowMs).nextAtMs = nowMs + intervalMs;
        return { target, deadlineAtMs: nowMs + HEARTBEAT_TIMEOUT_MS };
      });
  }

  /** Records that a relay answered a heartbeat. */
  recordHeartbeatSuccess(relayId: string): void {
    const heartbeat = this.heartbeats.get(relayId);
    if (heartbeat !== undefined) heartbeat.consecutiveFailures = 0;
  }

  /** Records a failed heartbeat. The first failure schedules an early retry. */
  recordHeartbeatFailure(relayId: string, nowMs: number): void {
    const heartbeat = this.heartbeats.get(relayId);
    if (heartbeat === undefined) return;
    heartbeat.consecutiveFailures += 1;
    if (heartbeat.consecutiveFailures < MAX_CONSECUTIVE_FAILURES)
      heartbeat.nextAtMs = nowMs + HEARTBEAT_RETRY_MS;
  }

  /** Returns whether this daemon currently acts as a relay. */
  isActing(): boolean {
    const rank = this.ownRank();
    if (rank < 0) return false;
    const higherRanked = this.rankedCandidates.slice(0, rank);
    const availableRelays = higherRanked.filter(
      relay => !this.isUnavailable(relay.id),
    );
    return (
      rank < RELAYS_PER_DATA_CENTRE + STANDBYS_PER_DATA_CENTRE &&
      availableRelays.length < RELAYS_PER_DATA_CENTRE
    );
  }

  private isUnavailable(id: string): boolean {
    return (
      (this.heartbeats.get(id)?.consecutiveFailures ?? 0) >=
      MAX_CONSECUTIVE_FAILURES
    );
  }

  private ownRank(): number {
    return this.rankedCandidates.findIndex(
      candidate => candidate.id === this.self.id,
    );
  }

  private monitoredRelays(): readonly DaemonIdentity[] {
    const rank = this.ownRank();
    const isStandby =
      rank >= RELAYS_PER_DATA_CENTRE &&
      rank < RELAYS_PER_DATA_CENTRE + STANDBYS_PER_DATA_CENTRE;
    return isStandby
      ? this.rankedCandidates.slice(0, RELAYS_PER_DATA_CENTRE)
      : [];
  }

  private heartbeatStateOf(
    relay: DaemonIdentity,
    nowMs: number,
  ): HeartbeatState {
    const existing = this.heartbeats.get(relay.id);
    if (existing !== undefined) return existing;
    const heartbeat = { nextAtMs: nowMs, consecutiveFailures: 0 };
    this.heartbeats.set(relay.id, heartbeat);
    return heartbeat;
  }
}
