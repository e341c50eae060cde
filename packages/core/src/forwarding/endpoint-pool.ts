import type { Random } from '../ports/index.js';
import type { ColdStartGuard } from './cold-start-guard.js';
import { NEVER_COLD } from './cold-start-guard.js';
import type { GroupRoom } from './dispatch-gate.js';
import { EndpointLifetimes } from './endpoint-lifetimes.js';
import type { EndpointLoad } from './endpoint-load.js';
import type { EndpointListing, EndpointRecord } from './endpoint-record.js';
import { EndpointState } from './endpoint-record.js';
import { findRetainable } from './endpoint-retention.js';
import { matchesRoom, roomOf } from './group-room.js';
import { LeastLatencyPlacement } from './least-latency-placement.js';
import { MisdirectedEndpoints } from './misdirected-endpoints.js';
import type {
  PeerLoadAt,
  PlacementPolicy,
  PlacementQuery,
} from './placement-policy.js';
import type { PoolMember } from './pool-member.js';
import {
  createPoolMember,
  expectedResponseMs,
  findPreferredMembers,
  isOnTrial,
  matchesQuery,
  recordResponse,
  runningAt,
} from './pool-member.js';
import type { EndpointPoolOptions } from './pool-options.js';
import type { PoolQuery } from './pool-query.js';
import type { PoolReservation } from './pool-reservation.js';
import { AttemptVerdict } from './pool-reservation.js';
import { createStatementRecorders } from './statement-recorders.js';

const NO_PEER_LOAD: PeerLoadAt = { running: 0, backlogTokens: 0 };

/** Endpoints known to this daemon, with a load balancer that reserves the one with the lowest expected cost. */
export class EndpointPool {
  private membersById = new Map<string, PoolMember>();
  private listedRevision = 0;
  private peerWorkById: ReadonlyMap<string, EndpointLoad> = new Map();
  private readonly misdirected = new MisdirectedEndpoints();

  private readonly lifetimes: EndpointLifetimes;
  private readonly coldStarts: ColdStartGuard;
  private readonly placement: PlacementPolicy;

  constructor(
    random: Random,
    private readonly options: EndpointPoolOptions,
  ) {
    this.placement =
      options.placement ?? new LeastLatencyPlacement({ ...options, random });
    this.lifetimes = new EndpointLifetimes(options.timeMs);
    this.coldStarts = options.coldStarts ?? NEVER_COLD;
  }

  /** Revision of the newest listing; 0 if none is known. */
  get revision(): number {
    return this.listedRevision;
  }

  /**
   * Applies a listing; returns false if it is not newer than the current one.
   * Ready endpoints that it lacks stay in use until `retainUntilMs`, if given, in
   * groups that lack at least as many as are listed: an outage of the store makes
   * most entries expire, whereas a few that are missing have left.
   */
  apply(listing: EndpointListing, retainUntilMs = -Infinity): boolean {
    if (listing.revision <= this.listedRevision) return false;
    const next = new Map<string, PoolMember>();
    for (const record of listing.endpoints) {
      const member = this.membersById.get(record.id);
      const isSame =
        member?.record.address === record.address &&
        member.record.bornAtMs === record.bornAtMs;
      if (isSame) member.record = record;
      const nextMember = isSame
        ? member
        : createPoolMember(
            record,
            this.options.engineMemoryTokens(record.group),
          );
      nextMember.usableUntilMs = Infinity;
      next.set(record.id, nextMember);
    }
    if (Number.isFinite(retainUntilMs)) {
      for (const member of findRetainable(this.membersById, next)) {
        member.usableUntilMs = Math.min(member.usableUntilMs, retainUntilMs);
        next.set(member.record.id, member);
      }
    }
    this.membersById = next;
    this.listedRevision = listing.revision;
    this.lifetimes.applyListing(listing.endpoints);
    return true;
  }

  endpoints(): readonly EndpointRecord[] {
    return [...this.membersById.values()].map(each => each.record);
  }

  /** Replaces the load that all peers together have at each endpoint. */
  applyPeerLoad(work: ReadonlyMap<string, EndpointLoad>): void {
    this.peerWorkById = work;
  }

  /** Returns the load that this daemon has at each endpoint with running requests. */
  ownLoad(): ReadonlyMap<string, EndpointLoad> {
    const busyMembers = [...this.membersById].filter(
      ([, member]) => member.running > 0,
    );
    return new Map(
      busyMembers.map(([id, { running, backlogTokens }]) => [
        id,
        { running, backlogTokens },
      ]),
    );
  }

  /** Returns the running requests of all daemons in a group, excluding endpoints of `exceptVersion`. */
  runningRequests(group: string, exceptVersion?: string): number {
    let running = 0;
    for (const [id, member] of this.membersById) {
      const { record } = member;
      if (record.group !== group || record.version === exceptVersion) continue;
      running += member.running + (this.peerWorkById.get(id)?.running ?? 0);
    }
    return running;
  }

  /** Excludes an endpoint for a while because another one answered on its address. */
  recordMisdirected(endpoint: EndpointRecord, nowMs: number): void {
    this.lifetimes.recordReplaced(endpoint);
    this.misdirected.record(endpoint.id, nowMs);
  }

  /** Returns the endpoints of a group that accept new requests. */
  readyEndpoints(group: string, nowMs: number): readonly EndpointRecord[] {
    return this.usableMembers(group, nowMs).map(each => each.record);
  }

  /** Returns whether an endpoint accepts new requests. */
  isReady(id: string, nowMs: number): boolean {
    const member = this.membersById.get(id);
    if (member === undefined || !this.isUsable(member, nowMs)) return false;
    return this.options.paused.waitMs(member.record) === 0;
  }

  /** Reserves the endpoint with the lowest expected cost; returns undefined if none is usable. */
  reserve(query: PoolQuery, nowMs: number): PoolReservation | undefined {
    const { limiter } = this.options;
    const usable = this.usableMembers(query.group, nowMs).filter(
      member =>
        !query.excluded.has(member.record.id) &&
        matchesQuery(member.record, query) &&
        this.waitMs(member, nowMs) === 0 &&
        matchesRoom(member, query, this.runningAt(member, nowMs)),
    );
    const unlimited = usable.filter(
      member => limiter.waitMs(member.record) === undefined,
    );
    const preferred = findPreferredMembers(unlimited, query.promptParts);
    const placed = { ...query, preferred };
    let best: PoolMember | undefined;
    let bestMs = Infinity;
    for (const member of usable) {
      const peerLoad = this.peerLoadAt(member);
      const expectedMs = this.placement.costMs(member, placed, peerLoad, nowMs);
      if (expectedMs >= bestMs) continue;
      best = member;
      bestMs = expectedMs;
    }
    return best === undefined
      ? undefined
      : this.createReservation(best, placed, nowMs);
  }

  /**
   * Returns the milliseconds after which a caller may return that is rejected now
   * because of the rate limits of a group's endpoints; undefined if not all have one.
   */
  scheduleReturnMs(group: string, nowMs: number): number | undefined {
    const { limiter } = this.options;
    const ready = this.readyEndpoints(group, nowMs);
    if (ready.length === 0) return undefined;
    if (ready.some(each => limiter.waitMs(each) === undefined))
      return undefined;
    return limiter.scheduleReturnMs(ready);
  }

  /**
   * Returns the milliseconds until one of a group's endpoints may be sent a request;
   * undefined if one may be now, or none accepts new requests.
   */
  busyForMs(group: string, nowMs: number): number | undefined {
    const waitsMs = this.usableMembers(group, nowMs).map(each =>
      this.waitMs(each, nowMs),
    );
    const waitMs = Math.min(...waitsMs);
    return waitMs > 0 && Number.isFinite(waitMs) ? waitMs : undefined;
  }

  /** Returns the capacity of a group's endpoints that accept new requests. */
  room(group: string, nowMs: number): GroupRoom {
    const isOpen = (member: PoolMember) => this.waitMs(member, nowMs) === 0;
    return roomOf(this.usableMembers(group, nowMs), isOpen, nowMs);
  }

  /** Returns the endpoints with the state that their selection depends on, for the operators. */
  dumpState(nowMs: number): unknown {
    return [...this.membersById.values()].map(member => ({
      ...member.record,
      running: member.running,
      peersRunning: this.peerWorkById.get(member.record.id)?.running ?? 0,
      reported: member.reportedLoad,
      failureShare: member.health.failureShare(nowMs),
      isMisdirected: this.misdirected.has(member.record.id, nowMs),
      isLeaving: this.options.leaving.has(member.record),
      pausedForMs: this.options.paused.waitMs(member.record),
      coldWaitMs: this.coldStarts.waitMs(member.record),
      learned: this.placement.dumpMember?.(member, nowMs),
    }));
  }

  private usableMembers(group: string, nowMs: number): readonly PoolMember[] {
    return [...this.membersById.values()].filter(
      each => each.record.group === group && this.isUsable(each, nowMs),
    );
  }

  private isUsable(
    { record, usableUntilMs }: PoolMember,
    nowMs: number,
  ): boolean {
    return (
      record.state === EndpointState.Ready &&
      nowMs < usableUntilMs &&
      this.options.isEvacuated?.(record.dataCentre) !== true &&
      !this.options.leaving.has(record) &&
      !this.misdirected.has(record.id, nowMs)
    );
  }

  /** Returns the milliseconds until this daemon may send an endpoint a request. */
  private waitMs(member: PoolMember, nowMs: number): number {
    const { limiter, overloadGuard, paused } = this.options;
    const load = {
      running: this.runningAt(member, nowMs),
      expectedResponseMs: expectedResponseMs(member, nowMs),
    };
    return Math.max(
      paused.waitMs(member.record),
      limiter.waitMs(member.record) ?? 0,
      overloadGuard.waitMs(member.record, load),
      this.coldStarts.waitMs(member.record),
    );
  }

  private runningAt(member: PoolMember, nowMs: number): number {
    const peersRunning = this.peerLoadAt(member).running;
    return runningAt(member, peersRunning, nowMs);
  }

  private peerLoadAt({ record }: PoolMember): PeerLoadAt {
    return this.peerWorkById.get(record.id) ?? NO_PEER_LOAD;
  }

  private createReservation(
    member: PoolMember,
    query: PlacementQuery,
    nowMs: number,
  ): PoolReservation {
    const uncachedTokens =
      query.promptTokens > 0
        ? member.promptCache.uncachedTokens(query.promptParts)
        : 0;
    const wasOnTrial = isOnTrial(member, nowMs);
    const peerLoad = this.peerLoadAt(member);
    const observation = this.placement.observe?.(
      member,
      query,
      peerLoad,
      nowMs,
    );
    member.running += 1;
    member.sentSinceLoadReport += 1;
    member.backlogTokens += uncachedTokens;
    member.promptCache.add(query.promptParts);
    const { limiter, overloadGuard } = this.options;
    limiter.recordDispatch(member.record);
    const dispatch = overloadGuard.recordDispatch(member.record);
    const coldDispatch = this.coldStarts.recordDispatch(member.record);
    const lifetime = this.lifetimes.watch(member.record);
    let ownBacklogTokens = uncachedTokens;
    let isActive = true;
    let isWithheld = false;
    const clearBacklog = () => {
      member.backlogTokens -= ownBacklogTokens;
      ownBacklogTokens = 0;
    };
    return {
      endpoint: member.record,
      lifetime: lifetime.signal,
      mayWrite: () => {
        isWithheld = !coldDispatch.mayWrite();
        return !isWithheld;
      },
      placementFields: () => observation?.fields() ?? {},
      recordFirstEvent: atMs => {
        clearBacklog();
        observation?.recordFirstEvent(atMs);
        recordResponse(member, atMs - nowMs, wasOnTrial, atMs);
      },
      recordEvents: count => observation?.recordEvents(count),
      recordLoad: (load, atMs) => {
        member.reportedLoad = load;
        member.loadReportedAtMs = atMs;
        member.sentSinceLoadReport = 0;
        this.options.loadObserver?.recordLoad(query.group, load, atMs);
        observation?.recordLoad(load, atMs);
      },
      ...createStatementRecorders({
        ...this.options,
        coldStarts: this.coldStarts,
        endpoint: member.record,
        dispatch,
        sentAtMs: nowMs,
      }),
      recordSilence: atMs => {
        member.health.record(true, atMs);
      },
      release: (verdict, atMs) => {
        if (!isActive) return;
        isActive = false;
        lifetime.stop();
        clearBacklog();
        dispatch.end();
        coldDispatch.end();
        member.running -= 1;
        observation?.end(verdict === AttemptVerdict.Succeeded, atMs);
        // A request that this daemon withholds says nothing about the endpoint.
        if (verdict === undefined || isWithheld) return;
        member.health.record(verdict === AttemptVerdict.Failed, atMs);
      },
    };
  }
}
