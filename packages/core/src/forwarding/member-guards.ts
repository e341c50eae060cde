import type { ColdStartGuard } from './cold-start-guard.js';
import type { EndpointLoad } from './endpoint-load.js';
import { EndpointState } from './endpoint-record.js';
import type { MisdirectedEndpoints } from './misdirected-endpoints.js';
import type { PeerLoadAt } from './placement-policy.js';
import type { PoolMember } from './pool-member.js';
import { expectedResponseMs, runningAt } from './pool-member.js';
import type { EndpointPoolOptions } from './pool-options.js';

const NO_PEER_LOAD: PeerLoadAt = { running: 0, backlogTokens: 0 };

/** Whether and when an endpoint may be sent a request, by all that this daemon knows of it. */
export class MemberGuards {
  private peerLoadById: ReadonlyMap<string, EndpointLoad> = new Map();

  constructor(
    private readonly options: EndpointPoolOptions,
    private readonly coldStarts: ColdStartGuard,
    private readonly misdirected: MisdirectedEndpoints,
  ) {}

  /** Replaces the load that all peers together have at each endpoint. */
  applyPeerLoad(load: ReadonlyMap<string, EndpointLoad>): void {
    this.peerLoadById = load;
  }

  /** Returns whether the endpoint accepts new requests. */
  isUsable({ record, usableUntilMs }: PoolMember, nowMs: number): boolean {
    return (
      record.state === EndpointState.Ready &&
      nowMs < usableUntilMs &&
      this.options.isEvacuated?.(record.dataCentre) !== true &&
      !this.options.leaving.has(record) &&
      !this.misdirected.has(record.id, nowMs)
    );
  }

  /** Returns the milliseconds until this daemon may send an endpoint a request. */
  waitMs(member: PoolMember, nowMs: number): number {
    const { limiter, paused } = this.options;
    return Math.max(
      paused.waitMs(member.record),
      limiter.waitMs(member.record) ?? 0,
      this.overloadWaitMs(member, nowMs),
      this.coldStarts.waitMs(member.record),
    );
  }

  /** Returns whether this daemon may send an endpoint a request now. */
  isOpen(member: PoolMember, nowMs: number): boolean {
    const { limiter, paused } = this.options;
    const { record } = member;
    return (
      paused.waitMs(record) === 0 &&
      (limiter.waitMs(record) ?? 0) === 0 &&
      this.coldStarts.waitMs(record) === 0 &&
      this.overloadWaitMs(member, nowMs) === 0
    );
  }

  /** Returns the requests that are known to run or wait at an endpoint. */
  runningAt(member: PoolMember, nowMs: number): number {
    const peersRunning = this.peerLoadAt(member).running;
    return runningAt(member, peersRunning, nowMs);
  }

  /** Returns the load that all peers together have at an endpoint. */
  peerLoadAt({ record }: PoolMember): PeerLoadAt {
    return this.peerLoadById.get(record.id) ?? NO_PEER_LOAD;
  }

  /** Returns an endpoint with the state that its selection depends on, for the operators. */
  dumpMember(member: PoolMember, nowMs: number): object {
    const { leaving, paused } = this.options;
    const { health, record, reportedLoad, running } = member;
    return {
      ...record,
      running,
      peersRunning: this.peerLoadAt(member).running,
      reported: reportedLoad,
      failureShare: health.failureShare(nowMs),
      isMisdirected: this.misdirected.has(record.id, nowMs),
      isLeaving: leaving.has(record),
      pausedForMs: paused.waitMs(record),
      coldWaitMs: this.coldStarts.waitMs(record),
    };
  }

  private overloadWaitMs(member: PoolMember, nowMs: number): number {
    return this.options.overloadGuard.waitMs(member.record, {
      running: this.runningAt(member, nowMs),
      expectedResponseMs: expectedResponseMs(member, nowMs),
    });
  }
}
