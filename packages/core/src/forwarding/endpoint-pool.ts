import type { DataCentre, Random } from '../ports/index.js';
import type { EndpointListing, EndpointRecord } from './endpoint-record.js';
import { EndpointState } from './endpoint-record.js';
import type { PromptPart, ReportedLoad } from './forward-request.js';
import type { PoolMember } from './pool-member.js';
import {
  DEFAULT_ANSWER_MS,
  expectedUncached,
  fitsVersion,
  homeOf,
  newMember,
  serviceMs,
} from './pool-member.js';

export interface EndpointPoolOptions {
  readonly dataCentre: DataCentre;
  /** Prompt tokens that an engine reads in a millisecond. */
  readonly prefillTokensPerMs: number;
  /** Tokens that the engines of a group hold; undefined where it has none or is not known. */
  readonly memoryTokensIn: (group: string) => number | undefined;
}

/** What the choice of an endpoint depends on. */
export interface PoolQuery {
  readonly group: string;
  /** The only version allowed; any where absent. */
  readonly onlyVersion?: string;
  /** A version that is not allowed. */
  readonly notVersion?: string;
  /** Endpoints already tried, by id. */
  readonly excluded: ReadonlySet<string>;
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
}

/** Work of one daemon at an endpoint, as told to its peers. */
export interface EndpointWork {
  readonly running: number;
  /** Prompt tokens sent whose first event has not come. */
  readonly backlogTokens: number;
}

/** One attempt at an endpoint, from its choice to its end. */
export interface PoolTicket {
  readonly endpoint: EndpointRecord;
  /** The first event of the answer has come: its prompt is read. */
  recordFirstEvent(nowMs: number): void;
  recordLoad(load: ReportedLoad, nowMs: number): void;
  /** `verdict` is undefined where the end says nothing of the endpoint. */
  release(verdict: AttemptVerdict | undefined, nowMs: number): void;
}

export enum AttemptVerdict {
  Succeeded = 'succeeded',
  Failed = 'failed',
}

/** Weight of the newest answer in an endpoint's average. */
const ANSWER_WEIGHT = 0.1; // the last ten or so count, a second of traffic
/** Cost of a certain failure: about one lost attempt and its repeat. */
const FAILURE_PENALTY_MS = 2_000;
/** Time that each running request adds to the steps of an engine's answer. */
const RUNNING_COST_MS = 4; // 0.03 ms a step on the users' sheet, for some 100 steps
/** Cost of sending to another data centre: twice the way there. */
const REMOTE_COST_MS = 1;
/** Age after which a report of load says nothing any more. */
const REPORT_AGE_LIMIT_MS = 1_000; // most requests last less
/** Weight of the tokens that a request makes an engine read: they delay all requests that come after it too. */
const UNCACHED_WEIGHT = 6; // docs/decisions/0010-platform.md, 'Weighed'
/** Random part of a cost, so that daemons with equal views do not all choose alike. */
const JITTER_MS = 2; // below the cost of one running request
/** Time after which an address that another endpoint answered on is asked again. */
const MISDIRECTED_MS = 10_000; // the list names the address's owner long before

/** The endpoints that this daemon may use, and the choice among them. */
export class EndpointPool {
  private members = new Map<string, PoolMember>();
  private listedRevision = 0;
  private peerWork = new Map<string, EndpointWork>();
  /** Endpoints that answered for another one, until when they are left out. */
  private readonly misdirectedUntilMs = new Map<string, number>();

  constructor(
    private readonly random: Random,
    private readonly options: EndpointPoolOptions,
  ) {}

  /** Revision of the newest listing; 0 where none is known. */
  get revision(): number {
    return this.listedRevision;
  }

  /**
   * Takes a listing; false where it is not newer than the present one. Ready
   * endpoints that it lacks stay in use until `missingUntilMs`, where given.
   */
  apply(listing: EndpointListing, missingUntilMs = -Infinity): boolean {
    if (listing.revision <= this.listedRevision) return false;
    this.listedRevision = listing.revision;
    const next = new Map<string, PoolMember>();
    for (const record of listing.endpoints) {
      const member = this.members.get(record.id);
      const isSame =
        member?.record.address === record.address &&
        member.record.bornAtMs === record.bornAtMs;
      if (isSame) member.record = record;
      const kept = isSame
        ? member
        : newMember(record, this.options.memoryTokensIn(record.group));
      kept.usableUntilMs = Infinity;
      next.set(record.id, kept);
    }
    if (Number.isFinite(missingUntilMs)) {
      this.keepMissing(next, missingUntilMs);
    }
    this.members = next;
    return true;
  }

  endpoints(): readonly EndpointRecord[] {
    return [...this.members.values()].map(each => each.record);
  }

  /** Takes what the peers together have at each endpoint. */
  applyPeerWork(work: ReadonlyMap<string, EndpointWork>): void {
    this.peerWork = new Map(work);
  }

  /** What this daemon has at each endpoint. */
  ownWork(): ReadonlyMap<string, EndpointWork> {
    const busy = [...this.members].filter(([, each]) => each.running > 0);
    return new Map(
      busy.map(([id, { running, backlogTokens }]) => [
        id,
        { running, backlogTokens },
      ]),
    );
  }

  /** Requests of all daemons at the endpoints of a group, without those of one version. */
  runningIn(group: string, exceptVersion?: string): number {
    let running = 0;
    for (const [id, member] of this.members) {
      const { record } = member;
      if (record.group !== group || record.version === exceptVersion) continue;
      running += member.running + (this.peerWork.get(id)?.running ?? 0);
    }
    return running;
  }

  /** Notes that another endpoint answered on the address of this one. */
  recordMisdirected(id: string, nowMs: number): void {
    this.misdirectedUntilMs.set(id, nowMs + MISDIRECTED_MS);
    for (const [other, untilMs] of this.misdirectedUntilMs) {
      if (untilMs <= nowMs) this.misdirectedUntilMs.delete(other);
    }
  }

  /** Endpoints of a group that take new work. */
  ready(group: string, nowMs: number): readonly EndpointRecord[] {
    return [...this.members.values()]
      .filter(each => this.isUsable(each, group, nowMs))
      .map(each => each.record);
  }

  /** Takes a place at the endpoint with the least expected time, if any may be used. */
  take(query: PoolQuery, nowMs: number): PoolTicket | undefined {
    const usable = [...this.members.values()].filter(
      member =>
        this.isUsable(member, query.group, nowMs) &&
        !query.excluded.has(member.record.id) &&
        fitsVersion(member.record, query),
    );
    const home = homeOf(usable, query.promptParts);
    let best: PoolMember | undefined;
    let bestMs = Infinity;
    for (const member of usable) {
      const expectedMs = this.expectedMs(member, query, member === home, nowMs);
      if (expectedMs >= bestMs) continue;
      best = member;
      bestMs = expectedMs;
    }
    return best === undefined ? undefined : this.begin(best, query, nowMs);
  }

  /** Endpoints with what decides on their choice, for the operators. */
  dumpState(nowMs: number): unknown {
    return [...this.members.values()].map(member => ({
      ...member.record,
      running: member.running,
      peersRunning: this.peerWork.get(member.record.id)?.running ?? 0,
      reported: member.reported,
      failureShare: member.health.failureShare(nowMs),
      isMisdirected: this.isMisdirected(member.record.id, nowMs),
    }));
  }

  private keepMissing(next: Map<string, PoolMember>, untilMs: number): void {
    const taken = new Set([...next.values()].map(each => each.record.address));
    for (const [id, member] of this.members) {
      const { address, state } = member.record;
      const isLeaving = state !== EndpointState.Ready || taken.has(address);
      if (next.has(id) || isLeaving) continue;
      member.usableUntilMs = Math.min(member.usableUntilMs, untilMs);
      next.set(id, member);
    }
  }

  private isUsable(
    { record, usableUntilMs }: PoolMember,
    group: string,
    nowMs: number,
  ): boolean {
    return (
      record.group === group &&
      record.state === EndpointState.Ready &&
      nowMs < usableUntilMs &&
      !this.isMisdirected(record.id, nowMs)
    );
  }

  private isMisdirected(id: string, nowMs: number): boolean {
    return nowMs < (this.misdirectedUntilMs.get(id) ?? 0);
  }

  private expectedMs(
    member: PoolMember,
    query: PoolQuery,
    isHome: boolean,
    nowMs: number,
  ): number {
    const { record } = member;
    const penaltyMs =
      member.health.failureShare(nowMs) * FAILURE_PENALTY_MS +
      (record.dataCentre === this.options.dataCentre ? 0 : REMOTE_COST_MS) +
      record.coldRemainingMs / 10 +
      this.random.nextFloat() * JITTER_MS;
    const running = this.runningAt(member, nowMs);
    return query.promptTokens > 0
      ? penaltyMs + this.engineMs(member, query, isHome, running)
      : penaltyMs + serviceMs(member, running);
  }

  private engineMs(
    member: PoolMember,
    query: PoolQuery,
    isHome: boolean,
    running: number,
  ): number {
    const peerTokens = this.peerWork.get(member.record.id)?.backlogTokens ?? 0;
    const waiting = Math.max(0, running + 1 - member.record.slots);
    const tokens =
      member.backlogTokens +
      peerTokens +
      expectedUncached(member, query, isHome) * UNCACHED_WEIGHT;
    const readMs = tokens / this.options.prefillTokensPerMs;
    const slotMs =
      (waiting / member.record.slots) * (member.answerMs ?? DEFAULT_ANSWER_MS);
    return readMs + running * RUNNING_COST_MS + slotMs;
  }

  /** Requests at an endpoint: own and peers', or what it stated and was sent since. */
  private runningAt(member: PoolMember, nowMs: number): number {
    const known =
      member.running + (this.peerWork.get(member.record.id)?.running ?? 0);
    const { reported } = member;
    const isFresh = nowMs - member.reportedAtMs < REPORT_AGE_LIMIT_MS;
    if (reported === undefined || !isFresh) return known;
    const stated = reported.running + reported.waiting + member.sentSinceReport;
    return Math.max(known, stated);
  }

  private begin(
    member: PoolMember,
    query: PoolQuery,
    nowMs: number,
  ): PoolTicket {
    const uncached =
      query.promptTokens > 0
        ? member.cache.uncachedTokens(query.promptParts)
        : 0;
    member.running += 1;
    member.sentSinceReport += 1;
    member.backlogTokens += uncached;
    member.cache.add(query.promptParts);
    let backlog = uncached;
    let isHeld = true;
    const endBacklog = () => {
      member.backlogTokens -= backlog;
      backlog = 0;
    };
    return {
      endpoint: member.record,
      recordFirstEvent: atMs => {
        endBacklog();
        const answerMs = atMs - nowMs;
        const average = member.answerMs ?? answerMs;
        member.answerMs = average + ANSWER_WEIGHT * (answerMs - average);
      },
      recordLoad: (load, atMs) => {
        member.reported = load;
        member.reportedAtMs = atMs;
        member.sentSinceReport = 0;
      },
      release: (verdict, atMs) => {
        if (!isHeld) return;
        isHeld = false;
        endBacklog();
        member.running -= 1;
        if (verdict === undefined) return;
        member.health.record(verdict === AttemptVerdict.Failed, atMs);
      },
    };
  }
}
