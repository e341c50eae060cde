import type { FirstEventTotals } from '../first-events/index.js';
import { FIRST_EVENT_WINDOW_MS } from '../first-events/index.js';
import type { EndpointRecord, ForwardGroup } from '../forwarding/index.js';
import { EndpointState } from '../forwarding/index.js';
import type { Log, Metrics } from '../ports/index.js';
import { LogComponent } from '../ports/index.js';
import { DEFAULT_IN_FLIGHT_PER_ENDPOINT } from './fleet-plan.js';
import { LearnedCapacity } from './learned-capacity.js';
import { SlidingWindowMax } from './sliding-window-max.js';

export interface LearnedCapacitiesDependencies {
  readonly log: Log;
  readonly metrics: Metrics;
  /** Returns the recent first events of a group, from all daemons. */
  readonly firstEvents: (group: string) => FirstEventTotals;
}

interface GroupState {
  readonly capacity: LearnedCapacity;
  /** Requests in flight for each ready endpoint. */
  readonly load: SlidingWindowMax;
  inFlightPerEndpoint: number | undefined;
}

/** What endpoints of each group serve within the latency objective, learned while this daemon holds the duties. */
export class LearnedCapacities {
  private readonly byGroup = new Map<string, GroupState>();

  constructor(private readonly deps: LearnedCapacitiesDependencies) {}

  get groupNames(): readonly string[] {
    return [...this.byGroup.keys()];
  }

  /** Forgets all that was learned, as when another daemon has planned meanwhile. */
  clear(): void {
    this.byGroup.clear();
  }

  retain(names: ReadonlySet<string>): void {
    for (const name of this.byGroup.keys())
      if (!names.has(name)) this.byGroup.delete(name);
  }

  /**
   * Returns the requests in flight to plan for each endpoint of a group, given its
   * endpoints and the requests in flight at them. Groups without slots keep the default.
   */
  step(
    { engine, name, scaling }: ForwardGroup,
    endpoints: readonly EndpointRecord[],
    inFlight: number,
    nowMs: number,
  ): number {
    if (engine === undefined || scaling === undefined)
      return DEFAULT_IN_FLIGHT_PER_ENDPOINT;
    const state = this.stateOf(name);
    const ready = endpoints.filter(each => each.state === EndpointState.Ready);
    // Without a ready endpoint, nothing can be said of the load of one.
    if (ready.length > 0) state.load.add(inFlight / ready.length, nowMs);
    const firstEvents = this.deps.firstEvents(name);
    const peakPerEndpoint = state.load.max(nowMs);
    const next = state.capacity.step(
      {
        slots: engine.slots,
        bootMs: scaling.bootMs,
        dataCentres: Object.keys(scaling.pricesByDataCentre).length,
        firstEvents,
        peakPerEndpoint,
      },
      nowMs,
    );
    this.report(name, state, next, firstEvents, peakPerEndpoint);
    state.inFlightPerEndpoint = next;
    return next;
  }

  private stateOf(group: string): GroupState {
    const known = this.byGroup.get(group);
    if (known !== undefined) return known;
    const state = {
      capacity: new LearnedCapacity(),
      load: new SlidingWindowMax(FIRST_EVENT_WINDOW_MS),
      inFlightPerEndpoint: undefined,
    };
    this.byGroup.set(group, state);
    return state;
  }

  private report(
    group: string,
    { inFlightPerEndpoint: before }: GroupState,
    after: number,
    { daemons, late, reportingDaemons, total }: FirstEventTotals,
    peakPerEndpoint: number,
  ): void {
    const { log, metrics } = this.deps;
    if (after === before) return;
    metrics.gauge('scaling.inFlightPerEndpoint', after, { group });
    if (before === undefined) return;
    metrics.increment('scaling.capacityChanges', 1, {
      group,
      direction: after > before ? 'raised' : 'lowered',
    });
    log.info(
      LogComponent.Duties,
      'The planned load of endpoints has changed.',
      {
        group,
        inFlightPerEndpoint: roundTenths(after),
        before: roundTenths(before),
        firstEvents: total,
        lateFirstEvents: late,
        peakPerEndpoint: roundTenths(peakPerEndpoint),
        daemons,
        reportingDaemons,
      },
    );
  }
}

function roundTenths(value: number): number {
  return Math.round(value * 10) / 10;
}
