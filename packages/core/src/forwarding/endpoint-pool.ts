import type { Random } from '../ports/index.js';
import type { ColdStartGuard } from './cold-start-guard.js';
import { NEVER_COLD } from './cold-start-guard.js';
import type { GroupRoom } from './dispatch-gate.js';
import { EndpointLifetimes } from './endpoint-lifetimes.js';
import type { EndpointLoad } from './endpoint-load.js';
import type { EndpointListing, EndpointRecord } from './endpoint-record.js';
import { findRetainable } from './endpoint-retention.js';
import type { EndpointScope } from './endpoint-scope.js';
import { matchesRoom } from './group-room.js';
import { LeastLatencyPlacement } from './least-latency-placement.js';
import { MemberGuards } from './member-guards.js';
import { MemberIndex } from './member-index.js';
import { MisdirectedEndpoints } from './misdirected-endpoints.js';
import type { PlacementPolicy, PlacementQuery } from './placement-policy.js';
import type { PoolMember } from './pool-member.js';
import {
  createPoolMember,
  isOnTrial,
  matchesQuery,
  recordResponse,
} from './pool-member.js';
import type { EndpointPoolOptions } from './pool-options.js';
import type { PoolQuery } from './pool-query.js';
import type { PoolReservation } from './pool-reservation.js';
import { AttemptVerdict } from './pool-reservation.js';
import { PreferredMembers } from './preferred-members.js';
import { promptSourceOf, tokensToPrefill } from './prompt-transfer.js';
import { RoomCounts } from './room-counts.js';
import { createStatementRecorders } from './statement-recorders.js';

/** Endpoints known to this daemon, with a load balancer that reserves the one with the lowest expected cost. */
export class EndpointPool {
  private members = new MemberIndex([]);
  private listedRevision = 0;
  private readonly misdirected = new MisdirectedEndpoints();

  private readonly lifetimes: EndpointLifetimes;
  private readonly coldStarts: ColdStartGuard;
  private readonly guards: MemberGuards;
  private readonly placement: PlacementPolicy;
  private readonly preferred = new PreferredMembers();
  private readonly rooms: RoomCounts;

  constructor(
    random: Random,
    private readonly options: EndpointPoolOptions,
  ) {
    this.placement =
      options.placement ?? new LeastLatencyPlacement({ ...options, random });
    this.lifetimes = new EndpointLifetimes(options.timeMs);
    this.coldStarts = options.coldStarts ?? NEVER_COLD;
    this.guards = new MemberGuards(options, this.coldStarts, this.misdirected);
    this.rooms = new RoomCounts({
      isEvacuated: dataCentre => options.isEvacuated?.(dataCentre) === true,
      isUsable: (member, nowMs) => this.guards.isUsable(member, nowMs),
      isOpen: (member, nowMs) => this.guards.isOpen(member, nowMs),
    });
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
      const member = this.members.get(record.id);
      const isSame =
        member?.record.address === record.address &&
        member.record.bornAtMs === record.bornAtMs;
      if (isSame) member.record = record;
      const nextMember = isSame
        ? member
        : createPoolMember(record, () =>
            this.options.engineMemoryTokens(record.group),
          );
      nextMember.usableUntilMs = Infinity;
      next.set(record.id, nextMember);
    }
    if (Number.isFinite(retainUntilMs)) {
      for (const member of findRetainable(this.members.byId, next)) {
        member.usableUntilMs = Math.min(member.usableUntilMs, retainUntilMs);
        next.set(member.record.id, member);
      }
    }
    this.members = new MemberIndex(next.values());
    this.preferred.clear();
    this.rooms.clear();
    this.listedRevision = listing.revision;
    this.lifetimes.applyListing(listing.endpoints);
    return true;
  }

  endpoints(): readonly EndpointRecord[] {
    return this.members.all.map(each => each.record);
  }

  /** Replaces the load that all peers together have at each endpoint. */
  applyPeerLoad(work: ReadonlyMap<string, EndpointLoad>): void {
    this.guards.applyPeerLoad(work);
  }

  /** Returns the load that this daemon has at each endpoint with running requests. */
  ownLoad(): ReadonlyMap<string, EndpointLoad> {
    const load = new Map<string, EndpointLoad>();
    for (const { backlogTokens, record, running } of this.members.all) {
      if (running > 0) load.set(record.id, { running, backlogTokens });
    }
    return load;
  }

  /** Returns the running requests of all daemons in a group, excluding endpoints of `exceptVersion`. */
  runningRequests(group: string, exceptVersion?: string): number {
    let running = 0;
    for (const member of this.members.inGroup(group)) {
      if (member.record.version === exceptVersion) continue;
      running += member.running + this.guards.peerLoadAt(member).running;
    }
    return running;
  }

  /** Excludes an endpoint for a while because another one answered on its address. */
  recordMisdirected(endpoint: EndpointRecord, nowMs: number): void {
    this.lifetimes.recordReplaced(endpoint);
    this.misdirected.record(endpoint.id, nowMs);
    const member = this.members.get(endpoint.id);
    if (member !== undefined) this.rooms.markChanged(member);
  }

  /** Returns the endpoints of a group that accept new requests. */
  readyEndpoints(group: string, nowMs: number): readonly EndpointRecord[] {
    return this.members
      .inGroup(group)
      .filter(each => this.guards.isUsable(each, nowMs))
      .map(each => each.record);
  }

  /** Returns whether an endpoint accepts new requests. */
  isReady(id: string, nowMs: number): boolean {
    const member = this.members.get(id);
    if (member === undefined || !this.guards.isUsable(member, nowMs))
      return false;
    return this.options.paused.waitMs(member.record) === 0;
  }

  /** Reserves the endpoint with the lowest expected cost; returns undefined if none is usable. */
  reserve(query: PoolQuery, nowMs: number): PoolReservation | undefined {
    const matches = (member: PoolMember) => this.matches(member, query, nowMs);
    const members = this.members.inGroup(query.group);
    const isEligible = (member: PoolMember) =>
      matches(member) &&
      this.options.limiter.waitMs(member.record) === undefined;
    const preferred = this.preferred.find(
      query.group,
      members,
      query.promptParts,
      isEligible,
    );
    const placed = this.withSources({ ...query, preferred }, members, nowMs);
    let best: PoolMember | undefined;
    let bestMs = Infinity;
    for (const member of members) {
      if (!matches(member)) continue;
      const peerLoad = this.guards.peerLoadAt(member);
      const expectedMs = this.placement.costMs(member, placed, peerLoad, nowMs);
      if (expectedMs >= bestMs) continue;
      best = member;
      bestMs = expectedMs;
    }
    if (best !== undefined) return this.createReservation(best, placed, nowMs);
    if (query.requiresRoom !== true) this.rooms.recordNoneFound(query.group);
    return undefined;
  }

  /**
   * Returns the milliseconds after which a caller may return that is rejected now
   * because of the rate limits of the endpoints that it may use; undefined if not all have one.
   */
  scheduleReturnMs(
    group: string,
    nowMs: number,
    scope: EndpointScope = {},
  ): number | undefined {
    const { limiter } = this.options;
    const ready = this.readyEndpoints(group, nowMs).filter(each =>
      matchesQuery(each, scope),
    );
    if (ready.length === 0) return undefined;
    if (ready.some(each => limiter.waitMs(each) === undefined))
      return undefined;
    return limiter.scheduleReturnMs(ready);
  }

  /**
   * Returns the milliseconds until one of a group's endpoints in a scope may be sent a
   * request; undefined if one may be now, or none accepts new requests.
   */
  busyForMs(
    group: string,
    nowMs: number,
    scope: EndpointScope = {},
  ): number | undefined {
    let waitMs = Infinity;
    for (const member of this.members.inGroup(group)) {
      if (waitMs === 0) break;
      if (!matchesQuery(member.record, scope)) continue;
      if (this.guards.isUsable(member, nowMs))
        waitMs = Math.min(waitMs, this.guards.waitMs(member, nowMs));
    }
    return waitMs > 0 && Number.isFinite(waitMs) ? waitMs : undefined;
  }

  /** Returns the capacity of a group's endpoints that accept new requests. */
  room(group: string, nowMs: number): GroupRoom {
    return this.rooms.of(group, this.members.inGroup(group), nowMs);
  }

  /** Returns the endpoints with the state that their selection depends on, for the operators. */
  dumpState(nowMs: number): unknown {
    return this.members.all.map(member => ({
      ...this.guards.dumpMember(member, nowMs),
      learned: this.placement.dumpMember?.(member, nowMs),
    }));
  }

  /** Returns whether a request may be sent to the endpoint now. */
  private matches(
    member: PoolMember,
    query: PoolQuery,
    nowMs: number,
  ): boolean {
    return (
      this.guards.isUsable(member, nowMs) &&
      !query.excluded.has(member.record.id) &&
      matchesQuery(member.record, query) &&
      this.guards.isOpen(member, nowMs) &&
      matchesRoom(member, query, () => this.guards.runningAt(member, nowMs))
    );
  }

  /** Adds the endpoints from which the prompt can be fetched, if it may be. */
  private withSources(
    query: PlacementQuery,
    members: readonly PoolMember[],
    nowMs: number,
  ): PlacementQuery {
    const { promptTransfers } = this.options;
    if (promptTransfers === undefined || query.mayTransferPrompt !== true)
      return query;
    const { group, promptParts } = query;
    const candidates = {
      ranked: this.preferred.ranked(group, members, promptParts),
      isUsable: (member: PoolMember) =>
        this.members.get(member.record.id) === member &&
        this.guards.isUsable(member, nowMs) &&
        matchesQuery(member.record, query) &&
        this.options.paused.waitMs(member.record) === 0,
    };
    const promptSources = promptTransfers.findSources(query, candidates, nowMs);
    return promptSources ? { ...query, promptSources } : query;
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
    const transfer = query.promptSources?.requestFor(
      member,
      this.placement.uncachedTokens?.(member, query) ?? 0,
    );
    const wasOnTrial = isOnTrial(member, nowMs);
    const peerLoad = this.guards.peerLoadAt(member);
    const observation = this.placement.observe?.(
      member,
      query,
      peerLoad,
      nowMs,
    );
    const { promptTransfers } = this.options;
    const prompt = promptTransfers?.observe(member, query, transfer, nowMs);
    const prefillTokens = tokensToPrefill(uncachedTokens, transfer);
    member.running += 1;
    member.sentSinceLoadReport += 1;
    member.backlogTokens += prefillTokens;
    member.promptCache.add(query.promptParts);
    const { limiter, overloadGuard } = this.options;
    limiter.recordDispatch(member.record);
    const dispatch = overloadGuard.recordDispatch(member.record);
    const coldDispatch = this.coldStarts.recordDispatch(member.record);
    const lifetime = this.lifetimes.watch(member.record);
    const markChanged = () => {
      this.rooms.markChanged(member);
    };
    markChanged();
    let ownBacklogTokens = prefillTokens;
    let isActive = true;
    let isWithheld = false;
    const clearBacklog = () => {
      member.backlogTokens -= ownBacklogTokens;
      ownBacklogTokens = 0;
    };
    return {
      endpoint: member.record,
      lifetime: lifetime.signal,
      mayWrite: (isWithheldAnyway = false) => {
        isWithheld = isWithheldAnyway || !coldDispatch.mayWrite();
        return !isWithheld;
      },
      ...(transfer && { promptSource: promptSourceOf(transfer) }),
      placementFields: () => observation?.fields() ?? {},
      recordFirstEvent: atMs => {
        clearBacklog();
        prompt?.recordFirstEvent(atMs);
        observation?.recordFirstEvent(atMs);
        recordResponse(member, atMs - nowMs, wasOnTrial, atMs);
      },
      recordEvents: count => observation?.recordEvents(count),
      recordLoad: (load, atMs) => {
        member.reportedLoad = load;
        member.loadReportedAtMs = atMs;
        member.sentSinceLoadReport = 0;
        markChanged();
        this.options.loadObserver?.recordLoad(query.group, load, atMs);
        observation?.recordLoad(load, atMs);
      },
      ...createStatementRecorders({
        ...this.options,
        coldStarts: this.coldStarts,
        endpoint: member.record,
        dispatch,
        sentAtMs: nowMs,
        onStatement: markChanged,
      }),
      recordSilence: atMs => {
        member.health.record(true, atMs);
        promptTransfers?.recordSilence(member, atMs);
      },
      release: (verdict, atMs) => {
        if (!isActive) return;
        isActive = false;
        lifetime.stop();
        clearBacklog();
        prompt?.end();
        dispatch.end();
        coldDispatch.end();
        member.running -= 1;
        markChanged();
        observation?.end(verdict === AttemptVerdict.Succeeded, atMs);
        // A request that this daemon withholds says nothing about the endpoint.
        if (verdict === undefined || isWithheld) return;
        member.health.record(verdict === AttemptVerdict.Failed, atMs);
      },
    };
  }
}
