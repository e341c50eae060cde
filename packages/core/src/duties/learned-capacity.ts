import type { FirstEventTotals } from '../first-events/index.js';
import {
  BOOT_TIME_FACTOR,
  DEFAULT_IN_FLIGHT_PER_ENDPOINT,
} from './fleet-plan.js';

/** Share of the first events that may be late. */
const MAX_LATE_SHARE = 0.05; // 95 in 100 are to be in time
/** Share of late first events up to which the number is raised. */
const RAISE_LATE_SHARE = 0.02; // some distance below the allowed share, so that a raise is not taken back at once
/** Standard deviations by which the late first events must exceed the allowed share. */
const DEVIATIONS = 2; // a number within the allowed share is lowered by chance in one of 40 windows
/** First events from which the number may be lowered, and from which it may be raised. */
const MIN_COUNT_TO_LOWER = 10;
const MIN_COUNT_TO_RAISE = 50; // the allowed share of late ones is then one event
/** Relative increase of the number by one raise. */
const RAISE_SHARE = 0.125; // one request at the initial number
/** Least relative decrease; it grows with the share of late first events, as in DCTCP (Alizadeh et al., 2010). */
const MIN_LOWER_SHARE = 0.15; // takes back the last raise
/** Decrease for each late first event, as a share of the number. */
const LOWER_PER_LATE_SHARE = 0.5;
/** Least number for engines: with 4 prompts of 17,000 tokens to read at 50 tokens a millisecond, the last first event takes 1.4 s, as long as objectives allow. */
const MIN_IN_FLIGHT = 4;
/** Greatest number, as a share of the slots: 2.5 times the load then finds slots where the headroom is twice the load and one data centre is lost. */
const MAX_SLOT_SHARE = 0.75;
/** Greatest burst, as a multiple of the load before it. */
const MAX_BURST = 2.5;
/** Time after late first events in which the number is not raised. */
const RAISE_PAUSE_MS = 20_000; // without it, each raise beyond what endpoints serve is tried again and again
/** Time without counts after which the present rule applies again. */
const MEMORY_MS = 8_000; // as long as the plan remembers load

/** What is known of one group at a time. */
export interface CapacityObservation {
  /** Slots of each endpoint. */
  readonly slots: number;
  readonly bootMs: number;
  /** Data centres in which endpoints are ordered. */
  readonly dataCentres: number;
  readonly firstEvents: FirstEventTotals;
  /** Recent maximum of the requests in flight for each ready endpoint. */
  readonly peakPerEndpoint: number;
}

/** What first events say of the load of the endpoints. */
enum Verdict {
  Unknown,
  InTime,
  Unclear,
  Late,
}

/** Bounds of the number. */
interface CapacityBounds {
  readonly min: number;
  readonly initial: number;
  readonly max: number;
}

/**
 * Learns how many requests in flight one endpoint of a group serves within the
 * latency objective: raises the number slowly while nearly all first events are in
 * time and the endpoints are used, and lowers it at once when too many are late.
 * Meant for groups with bursts of up to 2.5 times the load and the loss of one
 * data centre at a time.
 */
export class LearnedCapacity {
  private value: number | undefined;
  private mayRaiseAtMs: number | undefined;
  private mayLowerAtMs = -Infinity;
  private knownUntilMs = -Infinity;
  private lateSinceMs: number | undefined;

  /** Takes an observation into account. Returns the requests in flight to plan for each endpoint, not rounded. */
  step(observation: CapacityObservation, nowMs: number): number {
    const { initial, max, min } = boundsFor(observation.slots);
    const current = Math.min(max, Math.max(min, this.value ?? initial));
    this.value = this.next(current, observation, nowMs);
    return this.value;
  }

  private next(
    current: number,
    observation: CapacityObservation,
    nowMs: number,
  ): number {
    const verdict = verdictOf(observation.firstEvents);
    if (verdict === Verdict.Unknown) {
      if (nowMs < this.knownUntilMs) return current;
      this.lateSinceMs = undefined;
      this.mayRaiseAtMs = undefined;
      return boundsFor(observation.slots).initial;
    }
    this.knownUntilMs = nowMs + MEMORY_MS;
    this.mayRaiseAtMs ??= nowMs + observation.bootMs;
    if (verdict === Verdict.Late)
      return this.lowered(current, observation, nowMs);
    this.lateSinceMs = undefined;
    return verdict === Verdict.InTime && nowMs >= this.mayRaiseAtMs
      ? this.raised(current, observation, nowMs)
      : current;
  }

  /**
   * The number rises to what a burst and the loss of a data centre would bring each
   * endpoint to, and no further: a lightly loaded group says nothing of more.
   */
  private raised(
    current: number,
    observation: CapacityObservation,
    nowMs: number,
  ): number {
    const { initial, max } = boundsFor(observation.slots);
    const limit = Math.min(max, Math.max(initial, worstLoad(observation)));
    if (current >= limit) return current;
    this.mayRaiseAtMs = nowMs + observation.bootMs;
    return Math.min(limit, current * (1 + RAISE_SHARE));
  }

  private lowered(
    current: number,
    observation: CapacityObservation,
    nowMs: number,
  ): number {
    const settleMs = observation.bootMs * BOOT_TIME_FACTOR;
    this.lateSinceMs ??= nowMs;
    this.mayRaiseAtMs = nowMs + RAISE_PAUSE_MS;
    // With more in flight than planned, endpoints are being ordered already, and the number is not at fault.
    if (observation.peakPerEndpoint > current) return current;
    if (nowMs < this.mayLowerAtMs) return current;
    const { initial, min } = boundsFor(observation.slots);
    // Ordered endpoints do not help against what is over before they serve, nor where the present ones are hardly used.
    const isLasting = nowMs - this.lateSinceMs >= settleMs;
    const isUsed = worstLoad(observation) >= current;
    const least = Math.min(current, isLasting && isUsed ? min : initial);
    const { late, total } = observation.firstEvents;
    const share = Math.max(
      MIN_LOWER_SHARE,
      (late / total) * LOWER_PER_LATE_SHARE,
    );
    const next = Math.max(least, current * (1 - share));
    if (next < current) this.mayLowerAtMs = nowMs + settleMs;
    return next;
  }
}

function boundsFor(slots: number): CapacityBounds {
  const max = Math.max(1, slots * MAX_SLOT_SHARE);
  const initial = Math.min(DEFAULT_IN_FLIGHT_PER_ENDPOINT, max);
  return { min: Math.min(MIN_IN_FLIGHT, initial), initial, max };
}

/** Returns the requests in flight at each endpoint after the greatest burst and the loss of one data centre. */
function worstLoad({
  dataCentres,
  peakPerEndpoint,
}: CapacityObservation): number {
  const left = Math.max(1, dataCentres - 1);
  return peakPerEndpoint * MAX_BURST * (Math.max(1, dataCentres) / left);
}

function verdictOf({
  daemons,
  late,
  reportingDaemons,
  total,
}: FirstEventTotals): Verdict {
  if (total < MIN_COUNT_TO_LOWER) return Verdict.Unknown;
  const deviation = Math.sqrt(total * MAX_LATE_SHARE * (1 - MAX_LATE_SHARE));
  if (late > total * MAX_LATE_SHARE + DEVIATIONS * deviation)
    return Verdict.Late;
  // What daemons do not report does not count as in time.
  const inTimeShare = (1 - late / total) * (reportingDaemons / daemons);
  const isRaisable =
    total >= MIN_COUNT_TO_RAISE && inTimeShare >= 1 - RAISE_LATE_SHARE;
  return isRaisable ? Verdict.InTime : Verdict.Unclear;
}
