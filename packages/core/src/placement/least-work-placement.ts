import type {
  PeerLoadAt,
  PlacementObservation,
  PlacementPolicy,
  PlacementQuery,
  PoolMember,
} from '../forwarding/index.js';
import { LeastLatencyPlacement, sumTokens } from '../forwarding/index.js';
import type { DataCentre, Metrics, Random } from '../ports/index.js';
import { EndpointRates, GroupAverages } from './learned-speeds.js';
import type { LoadReports } from './load-reports.js';

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

/** Costs of a request at an endpoint, in milliseconds. */
interface WorkEstimate {
  /** Time to the first event. */
  readonly firstMs: number;
  /** The same at the group's average rate. */
  readonly averageFirstMs: number;
  /** Time that the request adds to those that run there. */
  readonly harmMs: number;
  readonly uncachedTokens: number;
  readonly outlook: Outlook;
}

interface LearnedMember {
  readonly rates: EndpointRates;
  readonly group: GroupAverages;
  /** Times at which this daemon sent requests that the newest report does not include. */
  sentAtMs: number[];
}

export interface LeastWorkTuning {
  harmWeight: number;
  harmBase: number;
  missShares: readonly number[];
  jitterShare: number;
  slowdownMs: number;
  decayFactor: number;
  stepMsPerRunning: number;
  useRates: boolean;
  stretchPower: number;
  waitFactor: number;
}
export const TUNING: LeastWorkTuning = {
  harmWeight: 0,
  harmBase: 5,
  missShares: [0.2, 0.3],
  jitterShare: 0.1,
  slowdownMs: 300,
  decayFactor: 1,
  stepMsPerRunning: 0.07,
  useRates: true,
  stretchPower: 1,
  waitFactor: 0.5,
};

/** Age of a report's figures when its response arrives. */
const REPORT_AGE_MS = 150; // endpoints report figures of 100 to 200 ms before
const DEFAULT_OUTPUT_TOKENS = 20;
const MAX_SENT = 64;

export class LeastWorkPlacement implements PlacementPolicy {
  private readonly fallback: LeastLatencyPlacement;
  private readonly learned = new WeakMap<PoolMember, LearnedMember>();
  private readonly groups = new Map<string, GroupAverages>();

  constructor(private readonly options: LeastWorkOptions) {
    this.fallback = new LeastLatencyPlacement(options);
  }

  costMs(
    member: PoolMember,
    query: PlacementQuery,
    load: PeerLoadAt,
    nowMs: number,
  ): number {
    const { firstMs, harmMs } = this.estimate(member, query, load, nowMs);
    const jitter = 1 + this.options.random.nextFloat() * TUNING.jitterShare;
    const costMs =
      this.fallback.penaltyMs(member, nowMs) + (firstMs + harmMs) * jitter;
    return Number.isFinite(costMs)
      ? costMs
      : this.fallback.costMs(member, query, load, nowMs);
  }

  observe(
    member: PoolMember,
    query: PlacementQuery,
    load: PeerLoadAt,
    nowMs: number,
  ): PlacementObservation {
    const estimate = this.estimate(member, query, load, nowMs);
    const learned = this.learnedOf(member);
    learned.sentAtMs.push(nowMs);
    if (learned.sentAtMs.length > MAX_SENT) learned.sentAtMs.shift();
    const { rates, group } = learned;
    if (query.promptTokens > 0)
      group.uncachedTokens.add(estimate.uncachedTokens);
    let firstAtMs: number | undefined;
    let events = 0;
    return {
      fields: () => ({
        estimatedFirstMs: Math.round(estimate.firstMs),
        ...(estimate.outlook.ageMs !== undefined && {
          loadAgeMs: Math.round(estimate.outlook.ageMs),
        }),
      }),
      recordLoad: reported => {
        this.options.reports.record(member.record.id, reported);
        group.active.add(reported.running + reported.waiting);
        learned.sentAtMs = learned.sentAtMs.filter(
          sentAtMs => sentAtMs > nowMs - REPORT_AGE_MS,
        );
      },
      recordFirstEvent: atMs => {
        firstAtMs = atMs;
        rates.recordFirst(atMs - nowMs, estimate.averageFirstMs, atMs);
        group.firstMs.add(atMs - nowMs);
      },
      recordEvents: count => {
        events += count;
      },
      end: (hasSucceeded, atMs) => {
        if (!hasSucceeded || firstAtMs === undefined) return;
        group.totalMs.add(atMs - nowMs);
        if (events > 2) rates.recordEvents((atMs - firstAtMs) / (events - 1));
      },
    };
  }

  dumpMember(member: PoolMember): unknown {
    const { rates } = this.learnedOf(member);
    return { prefillRate: rates.prefillRate, tokenRate: rates.tokenRate };
  }

  private estimate(
    member: PoolMember,
    query: PlacementQuery,
    load: PeerLoadAt,
    nowMs: number,
  ): WorkEstimate {
    const { group } = this.learnedOf(member);
    const outlook = this.outlookOf(member, load, nowMs);
    const slots = Math.max(1, member.record.slots);
    const queued = Math.max(0, outlook.active + 1 - slots);
    const slotWaitMs = (queued / slots) * group.totalMs.value;
    if (query.promptTokens === 0) {
      const averageFirstMs = group.firstMs.value + slotWaitMs;
      const firstMs = averageFirstMs * outlook.stretch;
      const harmMs = outlook.active;
      return {
        firstMs,
        averageFirstMs,
        harmMs,
        uncachedTokens: 0,
        outlook,
      };
    }
    const perMs = this.options.prefillTokensPerMs;
    const uncachedTokens = expectedUncachedTokens(member, query);
    const prefillMs = uncachedTokens / perMs;
    // By Little's law, the share of requests that wait for their first event is that of the time until it.
    const prefillShare = Math.min(1, group.firstMs.value / group.totalMs.value);
    const waitingMs =
      ((outlook.active * prefillShare * group.uncachedTokens.value) / perMs) *
      TUNING.waitFactor;
    const ownBacklogMs = (member.backlogTokens + load.backlogTokens) / perMs;
    const averageFirstMs =
      Math.max(waitingMs, ownBacklogMs) + prefillMs + slotWaitMs;
    const firstMs = averageFirstMs * outlook.stretch;
    const tokens = query.expectedOutputTokens ?? DEFAULT_OUTPUT_TOKENS;
    const harmMs =
      (TUNING.harmBase + outlook.active * TUNING.harmWeight) * prefillMs +
      outlook.active * tokens * TUNING.stepMsPerRunning * 2;
    return { firstMs, averageFirstMs, harmMs, uncachedTokens, outlook };
  }

  private outlookOf(
    member: PoolMember,
    load: PeerLoadAt,
    nowMs: number,
  ): Outlook {
    const { group, rates, sentAtMs } = this.learnedOf(member);
    const rate = TUNING.useRates ? rates.rateAt(member, nowMs) : 1;
    const known = member.running + load.running;
    const timed = this.options.reports.newest(member.record.id);
    if (timed === undefined) {
      const active = Math.max(known, group.active.value);
      return { active, ageMs: undefined, stretch: 1 / rate };
    }
    const ageMs = nowMs - timed.receivedAtMs + REPORT_AGE_MS;
    const reported = timed.load.running + timed.load.waiting;
    const slots = Math.max(1, timed.load.slots);
    const lastsMs =
      group.totalMs.value * Math.max(1, reported / slots) * TUNING.decayFactor;
    const remaining = Math.exp(-ageMs / lastsMs);
    const mean = timed.averageActive;
    const reportedAtMs = nowMs - ageMs;
    const sent = sentAtMs.filter(atMs => atMs > reportedAtMs).length;
    const active = Math.max(
      member.running,
      mean + (reported - mean) * remaining + sent * remaining,
    );
    const slowdown =
      1 +
      ((timed.load.slowdown ?? 1) - 1) * Math.exp(-ageMs / TUNING.slowdownMs);
    return { active, ageMs, stretch: (slowdown / rate) ** TUNING.stretchPower };
  }

  private learnedOf(member: PoolMember): LearnedMember {
    const known = this.learned.get(member);
    if (known !== undefined) return known;
    const groupName = member.record.group;
    let group = this.groups.get(groupName);
    if (group === undefined) {
      group = new GroupAverages();
      this.groups.set(groupName, group);
    }
    const learned = { group, rates: new EndpointRates(group), sentAtMs: [] };
    this.learned.set(member, learned);
    return learned;
  }
}

/** Returns the prompt tokens that are expected to be missing from an engine's cache. */
function expectedUncachedTokens(
  member: PoolMember,
  { preferred, promptParts, promptTokens }: PlacementQuery,
): number {
  if (promptParts.length === 0) return promptTokens;
  const knownTokens = member.promptCache.uncachedTokens(promptParts);
  const missShare = TUNING.missShares[preferred.indexOf(member)];
  if (missShare === undefined) return knownTokens;
  const sharedTokens = sumTokens(promptParts.slice(0, -1));
  const ownTokens = promptParts.at(-1)?.tokens ?? 0;
  return Math.min(knownTokens, ownTokens + sharedTokens * missShare);
}
