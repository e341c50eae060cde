import type {
  FirstEventObserver,
  ObservedFirstEvent,
} from '../forwarding/index.js';
import type { Metrics } from '../ports/index.js';
import type { FirstEventHints } from './first-event-hints.js';

/** Time over which first events are counted. */
export const FIRST_EVENT_WINDOW_MS = 3_000; // some hundred first events, and less than an ordered endpoint takes to start
/** Time for which counts share an entry. */
const INTERVAL_MS = 500;

/** Whether a first event came within the latency objective. */
enum FirstEventOutcome {
  InTime = 'inTime',
  Late = 'late',
  /** Late, but not without the delay of this daemon. */
  DelayedHere = 'delayedHere',
}

interface IntervalCounts {
  readonly startMs: number;
  total: number;
  late: number;
}

export interface FirstEventCountsDependencies {
  readonly nowMs: () => number;
  readonly metrics: Metrics;
  /** Recent maximum by which the event loop of this daemon was late. */
  readonly loopDelayMs: () => number;
}

/**
 * Counts this daemon's first events by group over a sliding window, and which of
 * them were late. First events that are late only by this daemon's own delay are
 * left out, since no endpoint can remedy it. Meant for some tens of requests a
 * second at daemons with a fraction of a core.
 */
export class FirstEventCounts implements FirstEventObserver {
  /** Oldest interval first. */
  private readonly byGroup = new Map<string, IntervalCounts[]>();

  constructor(private readonly deps: FirstEventCountsDependencies) {}

  record(event: ObservedFirstEvent): void {
    const { group } = event;
    const outcome = this.outcomeOf(event);
    this.deps.metrics.increment('firstEvents', 1, { group, outcome });
    if (outcome === FirstEventOutcome.DelayedHere) return;
    const counts = this.currentCounts(group);
    counts.total += 1;
    if (outcome === FirstEventOutcome.Late) counts.late += 1;
  }

  /** Returns the counts to report to peers. */
  hints(): FirstEventHints {
    const endMs = this.deps.nowMs() - FIRST_EVENT_WINDOW_MS;
    const hints: Record<string, readonly [number, number]> = {};
    for (const [group, intervals] of this.byGroup) {
      const recent = intervals.filter(
        each => each.startMs + INTERVAL_MS > endMs,
      );
      if (recent.length === 0) {
        this.byGroup.delete(group);
        continue;
      }
      this.byGroup.set(group, recent);
      hints[group] = [sum(recent, 'total'), sum(recent, 'late')];
    }
    return hints;
  }

  private outcomeOf({
    dispatchDelayMs,
    elapsedMs,
    latencyObjectiveMs,
  }: ObservedFirstEvent): FirstEventOutcome {
    if (elapsedMs <= latencyObjectiveMs) return FirstEventOutcome.InTime;
    const ownDelayMs = dispatchDelayMs + this.deps.loopDelayMs();
    return elapsedMs - ownDelayMs <= latencyObjectiveMs
      ? FirstEventOutcome.DelayedHere
      : FirstEventOutcome.Late;
  }

  private currentCounts(group: string): IntervalCounts {
    const nowMs = this.deps.nowMs();
    const intervals = this.byGroup.get(group) ?? [];
    this.byGroup.set(group, intervals);
    const last = intervals.at(-1);
    if (last !== undefined && nowMs < last.startMs + INTERVAL_MS) return last;
    const next = { startMs: nowMs, total: 0, late: 0 };
    intervals.push(next);
    return next;
  }
}

function sum(
  intervals: readonly IntervalCounts[],
  field: 'total' | 'late',
): number {
  return intervals.reduce((total, each) => total + each[field], 0);
}
