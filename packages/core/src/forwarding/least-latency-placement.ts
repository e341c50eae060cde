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
import { arrivalMs } from './prompt-transfer.js';

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
/** Weight of the time of a transfer: it delays the request, and later transfers of its engines. */
const TRANSFER_WEIGHT = 2; // once for each
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

  uncachedTokens(member: PoolMember, query: PlacementQuery): number {
    const isPreferred = query.preferred[0] === member;
    return expectedUncachedTokens(member, query, isPreferred);
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
    const uncachedTokens = this.uncachedTokens(member, query);
    const transfer = query.promptSources?.transferTo(member, uncachedTokens);
    const ownTokens = transfer?.remainingTokens ?? uncachedTokens;
    const prefillTokens =
      member.backlogTokens +
      load.backlogTokens +
      ownTokens * UNCACHED_TOKEN_WEIGHT;
    const prefillMs = prefillTokens / this.options.prefillTokensPerMs;
    const slotWaitMs =
      (queuedRequests / member.record.slots) *
      expectedResponseMs(member, nowMs);
    const transferMs = arrivalMs(transfer) * TRANSFER_WEIGHT;
    const runningMs = running * RUNNING_REQUEST_COST_MS;
    return prefillMs + transferMs + runningMs + slotWaitMs;
  }
}
