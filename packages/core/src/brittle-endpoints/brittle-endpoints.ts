import type {
  EndpointRecord,
  GuardedDispatch,
  GuardedResponse,
  KnownLoad,
  OverloadGuard,
} from '../forwarding/index.js';
import type { KnownDaemons } from '../membership/index.js';
import type { Log, Metrics } from '../ports/index.js';
import { LogComponent } from '../ports/index.js';
import { BoundedMap } from '../routing/index.js';
import type { BrittleEndpointHint } from './brittle-endpoint-hints.js';
import { MAX_SHARED_ENDPOINTS } from './brittle-endpoint-hints.js';
import { DispatchWindow } from './dispatch-window.js';
import type { RejectionShare } from './rejection-share.js';
import { NO_REJECTIONS, shareOfRejections } from './rejection-share.js';
import { RoomTrials } from './room-trials.js';

/** Number of endpoints whose statements are remembered. */
const MAX_KNOWN_ENDPOINTS = 4_096; // bounds memory to a few MB
/** Time without a response after which a statement no longer counts. */
const STATEMENT_TTL_MS = 30_000; // many times the spread of hints and the start of an endpoint
/** Interval between updates of what a group's endpoints say together. */
const GROUP_REFRESH_MS = 100;
/** Share of its slots up to which an endpoint gets single requests of daemons that may cause no rejection now. */
const HALF_FULL = 0.5;

/** Time for which an endpoint that has rejected a request of any daemon is not taken to have ample room. */
const FULL_MS = 3_000; // longer than most hints take to arrive
/** Number of daemons that may try out room at a time, as a share of the rejections that a group's endpoints bear. */
const TRIAL_SHARE = 0.2;

/** What one endpoint says, and what this daemon has sent to it. */
interface EndpointState {
  readonly endpointId: string;
  readonly bornAtMs: number;
  readonly group: string;
  /** Undefined if the endpoint does not say that it is brittle. */
  maxRejectionsPerSecond: number | undefined;
  /** Time of the response that shows it; -Infinity if there is none. */
  observedAtMs: number;
  /** Time of the last rejection that any daemon is known to have had. */
  rejectedAtMs: number;
  readonly dispatches: DispatchWindow;
  share: RejectionShare;
  /** Number of rejections and daemons for which `share` was computed. */
  sharedRejections: number;
  sharedDaemonIds: readonly string[];
}

/** Fewest rejections that any brittle endpoint of a group bears. */
interface GroupState {
  readonly maxRejectionsPerSecond: number | undefined;
  readonly computedAtMs: number;
}

export interface BrittleEndpointsDependencies {
  readonly ownId: string;
  readonly nowMs: () => number;
  readonly daemons: KnownDaemons;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Endpoints that say that they fail if they have to reject too many requests in a
 * second. Daemons pass this on, fill such endpoints only up to their slots, and
 * each causes only its share of the rejections. An endpoint without a response yet
 * counts as brittle if others of its group are.
 */
export class BrittleEndpoints implements OverloadGuard {
  private readonly states = new BoundedMap<string, EndpointState>(
    MAX_KNOWN_ENDPOINTS,
  );
  private readonly groups = new Map<string, GroupState>();

  private readonly trials = new Map<string, RoomTrials>();
  private readonly startedAtMs: number;

  constructor(private readonly deps: BrittleEndpointsDependencies) {
    this.startedAtMs = deps.nowMs();
  }

  waitMs(
    endpoint: EndpointRecord,
    { expectedResponseMs, running }: KnownLoad,
  ): number {
    if (this.states.size === 0) return 0;
    if (this.maxRejectionsOf(endpoint) === undefined) return 0;
    const nowMs = this.deps.nowMs();
    const state = this.stateOf(endpoint);
    const { dispatches } = state;
    // What peers have told of their load may be old.
    const isFull = running >= endpoint.slots && !dispatches.hasFreedSlot(nowMs);
    if (isFull) return Math.max(1, expectedResponseMs);
    if (this.isWithinShare(state, endpoint.slots)) return 0;
    if (this.hasAmpleRoom(state, endpoint.slots, running)) return 0;
    return dispatches.untilLessRiskMs(nowMs);
  }

  recordDispatch(endpoint: EndpointRecord): GuardedDispatch {
    const { nowMs } = this.deps;
    const sentAtMs = nowMs();
    if (this.maxRejectionsOf(endpoint) === undefined) {
      return {
        recordResponse: response => {
          this.recordStatement(endpoint, response, sentAtMs);
        },
        end: () => undefined,
      };
    }
    const state = this.stateOf(endpoint);
    const { dispatches } = state;
    const trials = this.trialsIn(state.group);
    const isTrial = !this.isWithinShare(state, endpoint.slots);
    const dispatch = dispatches.add(sentAtMs);
    if (isTrial) trials.start(dispatches, dispatch);
    return {
      recordResponse: response => {
        dispatches.recordResponse(dispatch, response.isRejection, nowMs());
        if (response.isRejection) state.rejectedAtMs = nowMs();
        if (isTrial) trials.recordResult(response.isRejection, nowMs());
        this.recordStatement(endpoint, response, sentAtMs);
      },
      end: () => {
        dispatches.end(dispatch, nowMs());
      },
    };
  }

  /** Returns what this daemon knows of brittle endpoints, for its hints to its peers, the newest first. */
  hints(): BrittleEndpointHint[] {
    const nowMs = this.deps.nowMs();
    return [...this.states.values()]
      .filter(({ observedAtMs }) => nowMs - observedAtMs < STATEMENT_TTL_MS)
      .sort((left, right) => right.observedAtMs - left.observedAtMs)
      .slice(0, MAX_SHARED_ENDPOINTS)
      .map(state => toHint(state, nowMs));
  }

  /** Applies a peer's hints; their ages count from now. */
  applyPeer(hints: readonly BrittleEndpointHint[]): void {
    const nowMs = this.deps.nowMs();
    for (const hint of hints) {
      const { ageMs, maxRejectionsPerSecond, rejectionAgeMs } = hint;
      this.observe(hint, maxRejectionsPerSecond, nowMs - ageMs);
      const state = this.states.get(hint.endpointId);
      if (state?.bornAtMs !== hint.bornAtMs || rejectionAgeMs === undefined)
        continue;
      state.rejectedAtMs = Math.max(state.rejectedAtMs, nowMs - rejectionAgeMs);
    }
  }

  /** Records what a response says; one without a statement ends an earlier one only if its request was sent later. */
  private recordStatement(
    endpoint: EndpointRecord,
    { isRejection, maxRejectionsPerSecond }: GuardedResponse,
    sentAtMs: number,
  ): void {
    if (maxRejectionsPerSecond !== undefined) {
      const nowMs = this.deps.nowMs();
      this.observe(identityOf(endpoint), maxRejectionsPerSecond, nowMs);
      return;
    }
    if (isRejection || this.maxRejectionsOf(endpoint) === undefined) return;
    this.observe(identityOf(endpoint), undefined, sentAtMs);
  }

  private observe(
    { bornAtMs, endpointId, group }: EndpointIdentity,
    maxRejectionsPerSecond: number | undefined,
    observedAtMs: number,
  ): void {
    const known = this.states.get(endpointId);
    if (known !== undefined && known.bornAtMs > bornAtMs) return;
    const isKnownLife = known?.bornAtMs === bornAtMs;
    if (isKnownLife && known.observedAtMs >= observedAtMs) return;
    const state = isKnownLife
      ? known
      : this.addState({ bornAtMs, endpointId, group });
    state.observedAtMs = observedAtMs;
    if (state.maxRejectionsPerSecond === maxRejectionsPerSecond) return;
    state.maxRejectionsPerSecond = maxRejectionsPerSecond;
    this.groups.delete(group);
    const { daemons, log, metrics } = this.deps;
    metrics.increment('brittleEndpoints.changed', 1);
    log.info(
      LogComponent.Routing,
      'The rejections that an endpoint bears have changed.',
      {
        endpoint: endpointId,
        group,
        maxRejectionsPerSecond: maxRejectionsPerSecond ?? 'any',
        daemons: daemons.ids().length,
      },
    );
  }

  /** Returns the rejections per second that an endpoint bears; undefined if it is not brittle. */
  private maxRejectionsOf(endpoint: EndpointRecord): number | undefined {
    const state = this.states.get(endpoint.id);
    const isKnown =
      state?.bornAtMs === (endpoint.bornAtMs ?? 0) &&
      this.deps.nowMs() - state.observedAtMs < STATEMENT_TTL_MS;
    return isKnown
      ? state.maxRejectionsPerSecond
      : this.maxRejectionsIn(endpoint.group);
  }

  private maxRejectionsIn(group: string): number | undefined {
    if (this.states.size === 0) return undefined;
    const nowMs = this.deps.nowMs();
    const known = this.groups.get(group);
    if (known !== undefined && nowMs - known.computedAtMs < GROUP_REFRESH_MS) {
      return known.maxRejectionsPerSecond;
    }
    const values = this.statesIn(group)
      .filter(each => nowMs - each.observedAtMs < STATEMENT_TTL_MS)
      .flatMap(each => each.maxRejectionsPerSecond ?? []);
    const maxRejectionsPerSecond =
      values.length === 0 ? undefined : Math.min(...values);
    this.groups.set(group, { maxRejectionsPerSecond, computedAtMs: nowMs });
    return maxRejectionsPerSecond;
  }

  /** Returns the part of an endpoint's rejections that this daemon may cause. */
  private shareOf(state: EndpointState): RejectionShare {
    const maxRejections =
      state.maxRejectionsPerSecond ?? this.maxRejectionsIn(state.group) ?? 0;
    const daemonIds = this.deps.daemons.ids();
    const isCurrent =
      state.sharedDaemonIds === daemonIds &&
      state.sharedRejections === maxRejections;
    if (isCurrent) return state.share;
    state.sharedDaemonIds = daemonIds;
    state.sharedRejections = maxRejections;
    state.share = shareOfRejections(
      state.endpointId,
      maxRejections,
      this.deps.ownId,
      daemonIds,
    );
    return state.share;
  }

  /** Returns whether this daemon may send a request even if the endpoint rejects it. */
  private isWithinShare(state: EndpointState, slots: number): boolean {
    const { part, rejections } = this.shareOf(state);
    const maxUnconfirmed = Math.max(rejections, Math.ceil(slots * part));
    return state.dispatches.mayRiskOne(
      rejections,
      maxUnconfirmed,
      this.deps.nowMs(),
    );
  }

  /**
   * Returns whether the endpoint has room even if the load of every daemon has
   * grown there as much as this one's, or enough for a single request.
   */
  private hasAmpleRoom(
    { dispatches, group, rejectedAtMs }: EndpointState,
    slots: number,
    running: number,
  ): boolean {
    const nowMs = this.deps.nowMs();
    const trials = this.trialsIn(group);
    const daemons = this.deps.daemons.ids().length;
    if (daemons === 0 || !trials.hasConfidence(nowMs)) return false;
    if (nowMs - rejectedAtMs < FULL_MS) return false;
    const growth = dispatches.growth(nowMs) + 1;
    if (running + growth * daemons <= slots) return true;
    if (running >= slots * HALF_FULL) return false;
    const rejections =
      (this.maxRejectionsIn(group) ?? 0) * this.statesIn(group).length;
    return trials.mayStart((rejections * TRIAL_SHARE) / daemons, nowMs);
  }

  private trialsIn(group: string): RoomTrials {
    const known = this.trials.get(group);
    if (known !== undefined) return known;
    const { ownId } = this.deps;
    const trials = new RoomTrials(ownId, group, this.startedAtMs);
    this.trials.set(group, trials);
    return trials;
  }

  private statesIn(group: string): EndpointState[] {
    return [...this.states.values()].filter(each => each.group === group);
  }

  private stateOf(endpoint: EndpointRecord): EndpointState {
    const identity = identityOf(endpoint);
    const known = this.states.get(endpoint.id);
    return known !== undefined && known.bornAtMs >= identity.bornAtMs
      ? known
      : this.addState(identity);
  }

  private addState(endpoint: EndpointIdentity): EndpointState {
    const state: EndpointState = {
      ...endpoint,
      maxRejectionsPerSecond: undefined,
      observedAtMs: -Infinity,
      rejectedAtMs: -Infinity,
      dispatches: new DispatchWindow(),
      share: NO_REJECTIONS,
      sharedRejections: 0,
      sharedDaemonIds: [],
    };
    this.states.set(endpoint.endpointId, state);
    return state;
  }
}

type EndpointIdentity = Pick<
  BrittleEndpointHint,
  'endpointId' | 'bornAtMs' | 'group'
>;

function identityOf({ bornAtMs, group, id }: EndpointRecord): EndpointIdentity {
  return { endpointId: id, bornAtMs: bornAtMs ?? 0, group };
}

function toHint(state: EndpointState, nowMs: number): BrittleEndpointHint {
  const { bornAtMs, endpointId, group, maxRejectionsPerSecond } = state;
  const rejectionAgeMs = nowMs - state.rejectedAtMs;
  return {
    endpointId,
    bornAtMs,
    group,
    ...(maxRejectionsPerSecond !== undefined && { maxRejectionsPerSecond }),
    ageMs: nowMs - state.observedAtMs,
    ...(Number.isFinite(rejectionAgeMs) && { rejectionAgeMs }),
  };
}
