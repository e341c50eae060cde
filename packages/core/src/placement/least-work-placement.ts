import type {
  PeerLoadAt,
  PlacementObservation,
  PlacementPolicy,
  PlacementQuery,
  PoolMember,
} from '../forwarding/index.js';
import {
  arrivalMs,
  LeastLatencyPlacement,
  sumTokens,
} from '../forwarding/index.js';
import type { DataCentre, Metrics, Random } from '../ports/index.js';
import { LearnedMembers } from './learned-members.js';
import type { LoadReports } from './load-reports.js';
import { missShareAt } from './miss-share.js';

export interface LeastWorkOptions {
  readonly random: Random;
  readonly metrics: Metrics;
  readonly dataCentre: DataCentre;
  /** Prompt tokens that an engine prefills per millisecond. */
  readonly prefillTokensPerMs: number;
  readonly reports: LoadReports;
}

/** What this daemon knows of an endpoint at one moment. */
interface Outlook {
  /** Requests running and waiting there, of all daemons. */
  readonly active: number;
  /** Age of the report of its load; undefined if there is none. */
  readonly ageMs: number | undefined;
  /** Time that work takes there relative to the group's average. */
  readonly stretch: number;
}

/** Estimate for one request at one endpoint. */
interface WorkEstimate {
  /** Time to the first event in milliseconds. */
  readonly firstMs: number;
  /** The same on an endpoint of the group's average rate. */
  readonly averageFirstMs: number;
  /** Time that the request takes from others there, in milliseconds. */
  readonly harmMs: number;
  /** Tokens that the endpoint has to prefill for the request. */
  readonly prefillTokens: number;
  readonly ageMs: number | undefined;
}

/** Age of a report's figures when its response arrives. */
const REPORT_AGE_MS = 150; // endpoints report figures of 100 to 200 ms before
/** Time constant with which a reported slowdown loses its meaning. */
const SLOWDOWN_DECAY_MS = 300; // other work slows a machine down for some hundred milliseconds
/** Weight of a request's own prefill in the harm to others: it delays those that run, and evicts what they have cached. */
const PREFILL_HARM_WEIGHT = 5; // with the prefill itself the weight that docs/decisions/0010-platform.md found, 'Weighed'
/** Share of the prompts whose first event is due that is still to be read, and that precedes the request. */
const WAITING_SHARE = 0.2; // docs/design/placement.md, 'Weighed'
/** Time that each running request adds to a decoding step. */
const STEP_MS_PER_REQUEST = 0.07; // 0.04 to 0.1, as the users specify
/** Output tokens of a request of which nothing is known. */
const DEFAULT_OUTPUT_TOKENS = 20;
/** Maximum random addition to a cost, as a share of it, so that daemons with equal news do not all choose the same endpoint. */
const JITTER_SHARE = 0.2; // docs/design/placement.md, 'Weighed'

/**
 * Expected time to the first event of a request plus the time that it takes from
 * those that run there. Meant for tens of daemons before about as many engines
 * whose prompts take most of their time, where a daemon sends an engine a request
 * every few seconds only, and knows of the rest by peers. Requests without a
 * prompt, and endpoints whose estimate is not finite, are placed by least latency.
 */
export class LeastWorkPlacement implements PlacementPolicy {
  private readonly fallback: LeastLatencyPlacement;
  private readonly members = new LearnedMembers();

  constructor(private readonly options: LeastWorkOptions) {
    this.fallback = new LeastLatencyPlacement(options);
  }

  costMs(
    member: PoolMember,
    query: PlacementQuery,
    load: PeerLoadAt,
    nowMs: number,
  ): number {
    if (query.promptTokens === 0)
      return this.fallback.costMs(member, query, load, nowMs);
    const { firstMs, harmMs } = this.estimate(member, query, load, nowMs);
    const jitter = 1 + this.options.random.nextFloat() * JITTER_SHARE;
    const workMs = (firstMs + harmMs) * jitter;
    return Number.isFinite(workMs)
      ? workMs + this.fallback.penaltyMs(member, nowMs)
      : this.fallback.costMs(member, query, load, nowMs);
  }

  observe(
    member: PoolMember,
    query: PlacementQuery,
    load: PeerLoadAt,
    nowMs: number,
  ): PlacementObservation | undefined {
    if (query.promptTokens === 0) return undefined;
    const { metrics, reports } = this.options;
    const estimate = this.estimate(member, query, load, nowMs);
    const { group, rates, sent } = this.members.get(member);
    sent.add(nowMs);
    group.uncachedTokens.add(estimate.prefillTokens);
    let firstMs: number | undefined;
    let events = 0;
    return {
      fields: () => ({
        estimatedFirstMs: Math.round(estimate.firstMs),
        ...(firstMs !== undefined && {
          estimateErrorMs: Math.round(firstMs - estimate.firstMs),
        }),
        ...(estimate.ageMs !== undefined && {
          loadAgeMs: Math.round(estimate.ageMs),
        }),
      }),
      recordLoad: reported => {
        reports.record(member.record.id, reported);
        group.active.add(reported.running + reported.waiting);
      },
      recordFirstEvent: atMs => {
        firstMs = atMs - nowMs;
        rates.recordFirst(firstMs, estimate.averageFirstMs, atMs);
        group.firstMs.add(firstMs);
        const errorMs = firstMs - estimate.firstMs;
        // Histograms throw for a value that is not finite.
        if (!Number.isFinite(errorMs)) return;
        metrics.timingMs('placement_estimateError', Math.abs(errorMs), {
          direction: errorMs > 0 ? 'tooLow' : 'tooHigh',
        });
      },
      recordEvents: count => {
        events += count;
      },
      end: (hasSucceeded, atMs) => {
        sent.remove(nowMs);
        if (!hasSucceeded || firstMs === undefined) return;
        const totalMs = atMs - nowMs;
        group.totalMs.add(totalMs);
        if (events > 1) rates.recordEvents((totalMs - firstMs) / (events - 1));
      },
    };
  }

  uncachedTokens(member: PoolMember, query: PlacementQuery): number {
    return expectedUncachedTokens(member, query);
  }

  dumpMember(member: PoolMember, nowMs: number): unknown {
    const { group, rates } = this.members.get(member);
    const report = this.options.reports.newest(member.record.id);
    return {
      prefillRate: rates.prefillRate,
      tokenRate: rates.tokenRate,
      requests: rates.requests,
      groupFirstMs: group.firstMs.value,
      groupTotalMs: group.totalMs.value,
      newestLoad: report?.load,
      newestLoadAgeMs: report && Math.round(nowMs - report.receivedAtMs),
    };
  }

  private estimate(
    member: PoolMember,
    query: PlacementQuery,
    load: PeerLoadAt,
    nowMs: number,
  ): WorkEstimate {
    const perMs = this.options.prefillTokensPerMs;
    const { group } = this.members.get(member);
    const { active, ageMs, stretch } = this.outlook(member, load, nowMs);
    const slots = Math.max(1, member.record.slots);
    const totalMs = group.totalMs.value;
    const slotWaitMs = (Math.max(0, active + 1 - slots) / slots) * totalMs;
    // By Little's law, the share of the requests whose first event is due is that of the time until it.
    const dueShare = Math.min(1, group.firstMs.value / totalMs);
    const dueTokens = active * dueShare * group.uncachedTokens.value;
    const knownTokens = member.backlogTokens + load.backlogTokens;
    const waitMs = Math.max(dueTokens * WAITING_SHARE, knownTokens) / perMs;
    const uncachedTokens = expectedUncachedTokens(member, query);
    const transfer = query.promptSources?.transferTo(member, uncachedTokens);
    const prefillTokens = transfer?.remainingTokens ?? uncachedTokens;
    const prefillMs = prefillTokens / perMs;
    const transferMs = arrivalMs(transfer);
    const averageFirstMs = waitMs + transferMs + prefillMs + slotWaitMs;
    const tokens = query.expectedOutputTokens ?? DEFAULT_OUTPUT_TOKENS;
    // The request slows the others' steps down, and they its own.
    const stepsMs = 2 * active * tokens * STEP_MS_PER_REQUEST;
    return {
      firstMs: averageFirstMs * stretch,
      averageFirstMs,
      // A transfer delays later ones of the same engines.
      harmMs: prefillMs * PREFILL_HARM_WEIGHT + transferMs + stepsMs,
      prefillTokens,
      ageMs,
    };
  }

  /**
   * Returns the load to expect. A report loses its meaning in about the time that
   * its requests take; the endpoint then has what it had on average.
   */
  private outlook(
    member: PoolMember,
    load: PeerLoadAt,
    nowMs: number,
  ): Outlook {
    const { group, rates, sent } = this.members.get(member);
    const rate = rates.rateAt(member, nowMs);
    const report = this.options.reports.newest(member.record.id);
    if (report === undefined) {
      const known = member.running + load.running;
      const active = Math.max(known, group.active.value);
      return { active, ageMs: undefined, stretch: 1 / rate };
    }
    const { averageActive, receivedAtMs } = report;
    const { running, slowdown = 1, slots, waiting } = report.load;
    const ageMs = Math.max(0, nowMs - receivedAtMs) + REPORT_AGE_MS;
    const rounds = Math.max(1, (running + waiting) / Math.max(1, slots));
    const remaining = Math.exp(-ageMs / (group.totalMs.value * rounds));
    const change =
      running + waiting - averageActive + sent.since(nowMs - ageMs);
    const active = Math.max(member.running, averageActive + change * remaining);
    const slowdownNow =
      1 + (slowdown - 1) * Math.exp(-ageMs / SLOWDOWN_DECAY_MS);
    return { active, ageMs, stretch: slowdownNow / rate };
  }
}

/** Returns the prompt tokens that are expected to be missing from an engine's cache. */
function expectedUncachedTokens(
  member: PoolMember,
  { preferred, promptParts, promptTokens }: PlacementQuery,
): number {
  if (promptParts.length === 0) return promptTokens;
  const knownTokens = member.promptCache.uncachedTokens(promptParts);
  const rank = preferred.indexOf(member);
  if (rank < 0) return knownTokens;
  const sharedTokens = sumTokens(promptParts.slice(0, -1));
  const ownTokens = promptParts.at(-1)?.tokens ?? 0;
  return Math.min(knownTokens, ownTokens + sharedTokens * missShareAt(rank));
}
