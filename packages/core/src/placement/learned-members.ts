import type { PoolMember } from '../forwarding/index.js';
import { MovingAverage } from './moving-average.js';

/** Weight of the newest request in an endpoint's rates. */
const ENDPOINT_WEIGHT = 0.1; // a daemon sends an endpoint a request every few seconds
/** Weight of the newest request in a group's averages. */
const GROUP_WEIGHT = 0.02; // some 50 requests, seven seconds of one daemon's
/** Number of requests at which an endpoint's rate counts half, and that of its group half. */
const PRIOR_REQUESTS = 2;
/** Bounds of a rate relative to the group: engines differ by a factor of less than three. */
const MIN_RATE = 1 / 3;
const MAX_RATE = 3;
/** Rate relative to the group below which an endpoint gets trials. */
const SLOW_RATE = 0.6; // the slowest of the engines that the users specify lies above
/** Time without a response after which a slow endpoint gets a trial. */
const TRIAL_AFTER_MS = 2_000; // within 3 s, as the users require
/** Number of own sends to one endpoint that are kept. */
const MAX_SENT = 64; // more than a daemon sends one endpoint between two reports

/** Averages over the requests that this daemon sent to one group. */
export class GroupAverages {
  /** Time from sending to the first event. */
  readonly firstMs = new MovingAverage(100, GROUP_WEIGHT);
  /** Time from sending to the end of the response. */
  readonly totalMs = new MovingAverage(200, GROUP_WEIGHT);
  /** Prompt tokens that a request is expected to have prefilled. */
  readonly uncachedTokens = new MovingAverage(4_000, GROUP_WEIGHT);
  /** Requests that endpoints reported as running and waiting. */
  readonly active = new MovingAverage(0, GROUP_WEIGHT);
  /** Logarithm of the observed time to the first event relative to the estimate. */
  readonly firstLog = new MovingAverage(0, GROUP_WEIGHT);
  /** Logarithm of the time for an event after the first one, in milliseconds. */
  readonly eventLog = new MovingAverage(0, GROUP_WEIGHT);
}

/** Rates of one endpoint relative to its group, from the requests that this daemon sent to it. */
export class EndpointRates {
  private readonly firstLog = new MovingAverage(0, ENDPOINT_WEIGHT);
  private readonly eventLog = new MovingAverage(0, ENDPOINT_WEIGHT);
  private observedAtMs = -Infinity;

  constructor(private readonly group: GroupAverages) {}

  /** Number of requests that the prefill rate is learned from, up to that at which older ones count less. */
  get requests(): number {
    return this.firstLog.count;
  }

  /** Prefill rate relative to the group, 1 if nothing is known. */
  get prefillRate(): number {
    return relativeRate(this.firstLog, this.group.firstLog);
  }

  /** Rate of events relative to the group, 1 if nothing is known. */
  get tokenRate(): number {
    return relativeRate(this.eventLog, this.group.eventLog);
  }

  /** Returns the rate to count on, the geometric mean of both; that of the group if the endpoint looked slow and is due for a trial. */
  rateAt({ running }: PoolMember, nowMs: number): number {
    const rate = Math.sqrt(this.prefillRate * this.tokenRate);
    const isTrialDue =
      running === 0 && nowMs - this.observedAtMs >= TRIAL_AFTER_MS;
    return rate < SLOW_RATE && isTrialDue ? 1 : rate;
  }

  /** Records a first event that came `observedMs` after the request was sent, where `expectedMs` is the time on an endpoint of the group's average rate. */
  recordFirst(observedMs: number, expectedMs: number, nowMs: number): void {
    const log = Math.log(Math.max(1, observedMs) / Math.max(1, expectedMs));
    this.group.firstLog.add(log);
    this.firstLog.add(log);
    this.observedAtMs = nowMs;
  }

  /** Records the mean time between two events of a response. */
  recordEvents(eventMs: number): void {
    const log = Math.log(Math.max(0.1, eventMs));
    this.group.eventLog.add(log);
    this.eventLog.add(log);
  }
}

function relativeRate(own: MovingAverage, group: MovingAverage): number {
  const trust = own.count / (own.count + PRIOR_REQUESTS);
  const rate = Math.exp((group.value - own.value) * trust);
  return Math.min(MAX_RATE, Math.max(MIN_RATE, rate));
}

/** Times at which this daemon sent the requests that run at one endpoint. */
export class SentTimes {
  private timesMs: number[] = [];

  add(atMs: number): void {
    this.timesMs.push(atMs);
    if (this.timesMs.length > MAX_SENT) this.timesMs.shift();
  }

  /** Removes a request that has ended. */
  remove(atMs: number): void {
    const index = this.timesMs.indexOf(atMs);
    if (index >= 0) this.timesMs.splice(index, 1);
  }

  /** Returns the number of running requests sent after `afterMs`. */
  since(afterMs: number): number {
    let count = 0;
    for (const atMs of this.timesMs) if (atMs > afterMs) count += 1;
    return count;
  }
}

/** What this daemon has learned of one endpoint. */
export interface LearnedMember {
  readonly group: GroupAverages;
  readonly rates: EndpointRates;
  readonly sent: SentTimes;
}

/** What this daemon has learned of all endpoints; a new incarnation of an endpoint starts like the others of its group. */
export class LearnedMembers {
  private readonly byMember = new WeakMap<PoolMember, LearnedMember>();
  private readonly groups = new Map<string, GroupAverages>();

  get(member: PoolMember): LearnedMember {
    const known = this.byMember.get(member);
    if (known !== undefined) return known;
    const group = this.groupOf(member.record.group);
    const rates = new EndpointRates(group);
    const learned = { group, rates, sent: new SentTimes() };
    this.byMember.set(member, learned);
    return learned;
  }

  private groupOf(name: string): GroupAverages {
    const known = this.groups.get(name);
    if (known !== undefined) return known;
    const group = new GroupAverages();
    this.groups.set(name, group);
    return group;
  }
}
