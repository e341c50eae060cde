import type { EndpointRecord, PoolReservation } from '../forwarding/index.js';
import { AttemptVerdict, EndpointState } from '../forwarding/index.js';
import type { ReceivedHints } from '../hints/index.js';
import type { DaemonIdentity, DataCentre, Random } from '../ports/index.js';
import type { EndpointReachability } from './endpoint-reachability.js';

export interface RelayPeersDependencies {
  readonly random: Random;
  readonly reachability: EndpointReachability;
  readonly livePeers: () => readonly DaemonIdentity[];
  /** Returns the newest hints of the peers. */
  readonly freshHints: (nowMs: number) => readonly ReceivedHints[];
}

/** Age from which a peer's hints no longer show that it reaches endpoints. */
const MAX_HINTS_AGE_MS = 1_500; // three exchanges
/** Time for which a peer is chosen only if there is no other, after an attempt through it failed. */
const AVOIDANCE_MS = 1_000;
/** Number of peers drawn, of which the least loaded one is chosen (Mitzenmacher, 2001). */
const DRAWN_PEERS = 2;

/** Peer with its newest hints. */
interface Candidate {
  readonly peer: DaemonIdentity;
  readonly hints: ReceivedHints;
}

/** Chooses the peers through which a daemon that reaches no endpoints sends its requests. */
export class RelayPeers {
  /** Number of requests of this daemon in progress at each peer. */
  private readonly inFlightById = new Map<string, number>();
  private readonly avoidedUntilMs = new Map<string, number>();

  constructor(private readonly deps: RelayPeersDependencies) {}

  /** Reserves a peer, in one of the data centres if these are given, that reaches the endpoints of a group; undefined if none is known that does. */
  reserve(
    group: string,
    excludedIds: ReadonlySet<string>,
    nowMs: number,
    allowedDataCentres?: ReadonlySet<DataCentre>,
  ): PoolReservation | undefined {
    const reaching = this.reachingPeers(group, excludedIds, nowMs);
    const allowed = reaching.filter(each =>
      isAllowed(each, allowedDataCentres),
    );
    const candidates = this.candidates(group, allowed, nowMs);
    const chosen = this.leastLoaded(candidates);
    return chosen && this.createReservation(chosen.peer, group);
  }

  private candidates(
    group: string,
    all: readonly Candidate[],
    nowMs: number,
  ): readonly Candidate[] {
    const { unreachableSinceMs = nowMs } = this.deps.reachability.of(group);
    const tried = [
      all.filter(each => !this.isAvoided(each.peer.id, nowMs)),
      all,
    ];
    for (const some of tried) {
      // A peer that has heard endpoints since reaches them; others may be about to find out that they do not.
      const proven = some.filter(
        each => heardAtMs(each, group) > unreachableSinceMs,
      );
      if (proven.length > 0) return proven;
      if (some.length > 0) return some;
    }
    return [];
  }

  private reachingPeers(
    group: string,
    excludedIds: ReadonlySet<string>,
    nowMs: number,
  ): readonly Candidate[] {
    const hintsById = new Map<string, ReceivedHints>();
    for (const received of this.deps.freshHints(nowMs)) {
      const { daemonId } = received.hints;
      const known = hintsById.get(daemonId);
      if (known !== undefined && known.receivedAtMs > received.receivedAtMs)
        continue;
      hintsById.set(daemonId, received);
    }
    return this.deps.livePeers().flatMap(peer => {
      const hints = hintsById.get(peer.id);
      if (hints === undefined || excludedIds.has(peer.id)) return [];
      if (nowMs - hints.receivedAtMs > MAX_HINTS_AGE_MS) return [];
      const { reachability } = hints.hints;
      // Daemons that send no such hints cannot pass requests on.
      if (reachability === undefined) return [];
      return reachability[group]?.isUnreachable === true
        ? []
        : [{ peer, hints }];
    });
  }

  private leastLoaded(candidates: readonly Candidate[]): Candidate | undefined {
    const { random } = this.deps;
    let best: Candidate | undefined;
    let bestLoad = Infinity;
    for (let drawn = 0; drawn < DRAWN_PEERS; drawn += 1) {
      const candidate = candidates[random.nextInteger(candidates.length)];
      if (candidate === undefined) return undefined;
      const load = this.loadOf(candidate);
      if (load >= bestLoad) continue;
      best = candidate;
      bestLoad = load;
    }
    return best;
  }

  private loadOf({ hints, peer }: Candidate): number {
    let load = this.inFlightById.get(peer.id) ?? 0;
    for (const { running } of Object.values(hints.hints.work)) load += running;
    return load;
  }

  private createReservation(
    peer: DaemonIdentity,
    group: string,
  ): PoolReservation {
    const { id } = peer;
    this.inFlightById.set(id, (this.inFlightById.get(id) ?? 0) + 1);
    return {
      endpoint: recordOf(peer, group),
      isPeer: true,
      recordFirstEvent: () => undefined,
      recordLoad: () => undefined,
      recordStatements: () => undefined,
      recordLeaving: () => undefined,
      recordPause: () => undefined,
      recordCold: () => undefined,
      recordSilence: () => undefined,
      release: (verdict, nowMs) => {
        const inFlight = (this.inFlightById.get(id) ?? 0) - 1;
        if (inFlight > 0) this.inFlightById.set(id, inFlight);
        else this.inFlightById.delete(id);
        if (verdict === AttemptVerdict.Succeeded)
          this.avoidedUntilMs.delete(id);
        if (verdict === AttemptVerdict.Failed)
          this.avoidedUntilMs.set(id, nowMs + AVOIDANCE_MS);
      },
    };
  }

  private isAvoided(id: string, nowMs: number): boolean {
    const untilMs = this.avoidedUntilMs.get(id);
    if (untilMs === undefined) return false;
    if (nowMs < untilMs) return true;
    this.avoidedUntilMs.delete(id);
    return false;
  }
}

/** Returns whether a peer may get the body of a request with home regions, which it has to know of. */
function isAllowed(
  { hints, peer }: Candidate,
  allowedDataCentres: ReadonlySet<DataCentre> | undefined,
): boolean {
  if (allowedDataCentres === undefined) return true;
  // Builds that state no version of the evacuations do not know home regions either.
  const knowsHomeRegions = hints.hints.evacuationsVersion !== undefined;
  return knowsHomeRegions && allowedDataCentres.has(peer.dataCentre);
}

function heardAtMs({ hints }: Candidate, group: string): number {
  const heardAgeMs = hints.hints.reachability?.[group]?.heardAgeMs;
  return hints.receivedAtMs - (heardAgeMs ?? Infinity);
}

/** Returns a peer as the target of an attempt. */
function recordOf(peer: DaemonIdentity, group: string): EndpointRecord {
  return {
    id: peer.id,
    address: peer.peerAddress,
    group,
    dataCentre: peer.dataCentre,
    version: '',
    slots: 0,
    state: EndpointState.Ready,
    coldRemainingMs: 0,
    isReclaimable: false,
    leavesInMs: undefined,
    bornAtMs: undefined,
  };
}
