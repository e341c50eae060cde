import type { DataCentre, Random } from '../ports/index.js';
import type {
  PeerLoadAt,
  PlacementPolicy,
  PlacementQuery,
} from './placement-policy.js';
import type { PoolMember } from './pool-member.js';
import {
  expectedResponseMs,
  expectedServiceMs,
  expectedUncachedTokens,
  runningAt,
} from './pool-member.js';

export interface LeastLatencyOptions {
  readonly random: Random;
  readonly dataCentre: DataCentre;
  /** Prompt tokens that an engine prefills per millisecond. */
  readonly prefillTokensPerMs: number;
}

/** Cost at a failure share of 1: about one failed attempt and its retry. */
const FAILURE_PENALTY_MS = 2_000;
/** Time that each running request adds to the decoding steps of an engine's response. */
const RUNNING_REQUEST_COST_MS = 4; // 0.03 ms per step, as the users specify, for some 100 steps
/** Cost of sending to another data centre: one round trip. */
const REMOTE_DATA_CENTRE_COST_MS = 1;
/** Weight of the uncached tokens of a request: their prefill delays all later requests too. */
const UNCACHED_TOKEN_WEIGHT = 6; // docs/decisions/0010-platform.md, 'Weighed'
/** Maximum random addition to a cost, so that daemons with equal state do not all choose the same endpoint. */
const JITTER_MS = 2; // below the cost of one running request

/** Expected latency of the request, where all engines of a group are taken to be equally fast. */
export class LeastLatencyPlacement implements PlacementPolicy {
  constructor(private readonly options: LeastLatencyOptions) {}

  costMs(
    member: PoolMember,
    query: PlacementQuery,
    load: PeerLoadAt,
    nowMs: number,
  ): number {
    const running = runningAt(member, load.running, nowMs);
    return query.promptTokens > 0
      ? this.penaltyMs(member, nowMs) +
          this.expectedEngineMs(member, query, load, running, nowMs)
      : this.penaltyMs(member, nowMs) +
          expectedServiceMs(member, running, nowMs);
  }

  /** Returns what does not depend on the request: failures, distance, a cold start and jitter. */
  penaltyMs({ health, record }: PoolMember, nowMs: number): number {
    const { dataCentre, random } = this.options;
    return (
      health.failureShare(nowMs) * FAILURE_PENALTY_MS +
      (record.dataCentre === dataCentre ? 0 : REMOTE_DATA_CENTRE_COST_MS) +
      record.coldRemainingMs / 10 +
      random.nextFloat() * JITTER_MS
    );
  }

  private expectedEngineMs(
    member: PoolMember,
    query: PlacementQuery,
    load: PeerLoadAt,
    running: number,
    nowMs: number,
  ): number {
    const queuedRequests = Math.max(0, running + 1 - member.record.slots);
    const isPreferred = query.preferred[0] === member;
    const prefillTokens =
      member.backlogTokens +
      load.backlogTokens +
      expectedUncachedTokens(member, query, isPreferred) *
        UNCACHED_TOKEN_WEIGHT;
    const prefillMs = prefillTokens / this.options.prefillTokensPerMs;
    const slotWaitMs =
      (queuedRequests / member.record.slots) *
      expectedResponseMs(member, nowMs);
    return prefillMs + running * RUNNING_REQUEST_COST_MS + slotWaitMs;
  }
}
