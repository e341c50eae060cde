import { KnownDaemons } from '../membership/index.js';
import type { DaemonIdentity } from '../ports/index.js';

/** Times until the membership protocol notices that a peer came or went. */
const JOIN_NOTICED_MS = 1_000;
const LOSS_NOTICED_MS = 3_000;

interface SimulatedMember {
  readonly id: string;
  isCutOff: boolean;
  /** Time of the last start, or of the last change of `isCutOff`. */
  changedAtMs: number;
  pausedAtMs: number;
  /** Infinity while it is paused. */
  resumedAtMs: number;
}

/** Daemons as a membership protocol shows them to one another, which notices changes late. */
export class SimulatedMembership {
  private readonly members = new Map<string, SimulatedMember>();

  constructor(private readonly nowMs: () => number) {}

  /** Registered daemons, running or not. */
  ids(): readonly string[] {
    return [...this.members.keys()];
  }

  /** Starts a daemon, or starts it again, and returns what it knows of the others after it has read the list of daemons. */
  start(id: string, isListRead = true): KnownDaemons {
    const daemons = new KnownDaemons({
      ownId: id,
      nowMs: this.nowMs,
      livePeers: () => this.livePeersOf(id),
    });
    if (isListRead) daemons.recordListed(this.ids());
    this.members.set(id, {
      id,
      isCutOff: this.isCutOff(id),
      changedAtMs: this.nowMs(),
      pausedAtMs: -Infinity,
      resumedAtMs: -Infinity,
    });
    return daemons;
  }

  /** Cuts a daemon off from all others, but not from endpoints. */
  setCutOff(id: string, isCutOff: boolean): void {
    this.change(id, { isCutOff, changedAtMs: this.nowMs() });
  }

  isCutOff(id: string): boolean {
    return this.members.get(id)?.isCutOff === true;
  }

  pause(id: string): void {
    if (this.isPaused(id)) return;
    this.change(id, { pausedAtMs: this.nowMs(), resumedAtMs: Infinity });
  }

  resume(id: string): void {
    if (this.isPaused(id)) this.change(id, { resumedAtMs: this.nowMs() });
  }

  isPaused(id: string): boolean {
    return this.members.get(id)?.resumedAtMs === Infinity;
  }

  private change(id: string, changes: Partial<SimulatedMember>): void {
    Object.assign(this.members.get(id) ?? {}, changes);
  }

  private livePeersOf(ownId: string): readonly DaemonIdentity[] {
    const own = this.members.get(ownId);
    if (own === undefined || !this.isSeen(own, own)) return [];
    return [...this.members.values()]
      .filter(each => each !== own && this.isSeen(each, own))
      .map(({ id }) => ({
        id,
        dataCentre: 'north-1',
        peerAddress: id,
        callerUrl: '',
      }));
  }

  /** Whether a daemon counts as alive for another, which notices late what happened while it was paused itself. */
  private isSeen(member: SimulatedMember, by: SimulatedMember): boolean {
    const nowMs = this.nowMs();
    if (member.resumedAtMs === Infinity)
      return nowMs - member.pausedAtMs < LOSS_NOTICED_MS;
    const isMissed = member.changedAtMs > by.pausedAtMs;
    const learnedAtMs = isMissed
      ? Math.max(member.changedAtMs, by.resumedAtMs)
      : member.changedAtMs;
    const sinceMs = nowMs - learnedAtMs;
    return member.isCutOff
      ? sinceMs < LOSS_NOTICED_MS
      : sinceMs >= JOIN_NOTICED_MS;
  }
}
