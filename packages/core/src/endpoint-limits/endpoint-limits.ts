import type { EndpointLimiter, EndpointRecord } from '../forwarding/index.js';
import type { KnownDaemons } from '../membership/index.js';
import type { Log, Metrics } from '../ports/index.js';
import { LogComponent } from '../ports/index.js';
import { BoundedMap } from '../routing/index.js';
import type { EndpointLimitHint } from './endpoint-limit-hints.js';
import { MAX_SHARED_LIMITS } from './endpoint-limit-hints.js';
import { MIN_LIMIT_PER_SECOND, NO_SHARE, shareOfLimit } from './limit-share.js';
import { ShareBucket } from './share-bucket.js';

const MS_PER_SECOND = 1_000;
/** Number of endpoints whose limits are remembered. */
const MAX_KNOWN_LIMITS = 4_096; // bounds memory to about 1 MB
/** Time for which the end of a limit is passed on to peers. */
const ENDED_SHARING_MS = 30_000; // many times the spread of hints

/** Origin of what is known, as logged. */
enum LimitSource {
  Response = 'response',
  Peer = 'peer',
}

/** Limit that a response shows. */
type LimitObservation = Pick<
  EndpointLimitHint,
  'endpointId' | 'bornAtMs' | 'limitPerSecond'
>;

/** What a daemon knows of the limit of one endpoint. */
interface LimitState {
  readonly endpointId: string;
  readonly bornAtMs: number;
  /** Undefined if the endpoint names no limit any more. */
  limitPerSecond: number | undefined;
  /** Time of the response that shows it. */
  observedAtMs: number;
  readonly bucket: ShareBucket;
  /** Time at which the last rejected caller was told to return. */
  lastReturnAtMs: number;
}

export interface EndpointLimitsDependencies {
  readonly ownId: string;
  readonly nowMs: () => number;
  readonly daemons: KnownDaemons;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Rate limits that endpoints name for all daemons together. The limits are
 * passed on to peers, and each daemon keeps to its share of them by a token
 * bucket, so that no call between daemons is needed before a request is sent.
 */
export class EndpointLimits implements EndpointLimiter {
  private readonly states = new BoundedMap<string, LimitState>(
    MAX_KNOWN_LIMITS,
  );

  constructor(private readonly deps: EndpointLimitsDependencies) {}

  waitMs(endpoint: EndpointRecord): number | undefined {
    const state = this.limitedState(endpoint);
    return state?.bucket.waitMs();
  }

  recordDispatch(endpoint: EndpointRecord): void {
    this.limitedState(endpoint)?.bucket.take();
  }

  recordResponse(
    endpoint: EndpointRecord,
    limitPerSecond: number | undefined,
    sentAtMs: number,
  ): void {
    const observation = {
      endpointId: endpoint.id,
      bornAtMs: endpoint.bornAtMs ?? 0,
      limitPerSecond,
    };
    if (limitPerSecond !== undefined) {
      this.observe(observation, this.deps.nowMs(), LimitSource.Response);
      return;
    }
    // The response may have been written before another one that named the limit.
    if (this.limitedState(endpoint) === undefined) return;
    this.observe(observation, sentAtMs, LimitSource.Response);
  }

  scheduleReturnMs(endpoints: readonly EndpointRecord[]): number {
    const nowMs = this.deps.nowMs();
    let first: LimitState | undefined;
    let firstAtMs = Infinity;
    for (const endpoint of endpoints) {
      const state = this.limitedState(endpoint);
      if (state === undefined) continue;
      const returnAtMs = this.nextReturnAtMs(state, endpoint);
      if (returnAtMs >= firstAtMs) continue;
      first = state;
      firstAtMs = returnAtMs;
    }
    if (first === undefined) return 0;
    first.lastReturnAtMs = firstAtMs;
    return firstAtMs - nowMs;
  }

  /** Returns the limits that this daemon knows, for its hints to its peers, the newest first. */
  hints(): EndpointLimitHint[] {
    const nowMs = this.deps.nowMs();
    // Keeps the set of live daemons up to date while no endpoint names a limit.
    this.deps.daemons.ids();
    const shared = [...this.states.values()].filter(
      ({ limitPerSecond, observedAtMs }) =>
        limitPerSecond !== undefined || nowMs - observedAtMs < ENDED_SHARING_MS,
    );
    return shared
      .sort((left, right) => right.observedAtMs - left.observedAtMs)
      .slice(0, MAX_SHARED_LIMITS)
      .map(({ bornAtMs, endpointId, limitPerSecond, observedAtMs }) => ({
        endpointId,
        bornAtMs,
        ...(limitPerSecond === undefined ? {} : { limitPerSecond }),
        ageMs: nowMs - observedAtMs,
      }));
  }

  /** Applies a peer's hints; their ages count from now. */
  applyPeer(hints: readonly EndpointLimitHint[]): void {
    const nowMs = this.deps.nowMs();
    for (const { ageMs, ...hint } of hints) {
      this.observe(hint, nowMs - ageMs, LimitSource.Peer);
    }
  }

  /** Returns the state of an endpoint that names a limit. */
  private limitedState(endpoint: EndpointRecord): LimitState | undefined {
    const state = this.states.get(endpoint.id);
    const isLimited =
      state?.limitPerSecond !== undefined &&
      state.bornAtMs === (endpoint.bornAtMs ?? 0);
    return isLimited ? state : undefined;
  }

  private observe(
    { bornAtMs, endpointId, limitPerSecond }: LimitObservation,
    observedAtMs: number,
    source: LimitSource,
  ): void {
    const known = this.states.get(endpointId);
    if (known !== undefined && known.bornAtMs > bornAtMs) return;
    const isKnownLife = known?.bornAtMs === bornAtMs;
    if (isKnownLife && known.observedAtMs >= observedAtMs) return;
    const state = isKnownLife ? known : this.createState(endpointId, bornAtMs);
    this.states.set(endpointId, state);
    state.observedAtMs = observedAtMs;
    if (state.limitPerSecond === limitPerSecond) return;
    this.changeLimit(state, limitPerSecond);
    const { log, metrics } = this.deps;
    metrics.increment('endpointLimits.changed', 1);
    log.info(
      LogComponent.Routing,
      'The rate limit of an endpoint has changed.',
      {
        endpoint: endpointId,
        limitPerSecond: limitPerSecond ?? 'none',
        sharePerSecond: state.bucket.sharePerSecond,
        daemons: state.bucket.daemonCount,
        source,
      },
    );
  }

  private changeLimit(
    state: LimitState,
    limitPerSecond: number | undefined,
  ): void {
    if (state.limitPerSecond === undefined) state.bucket.reset();
    state.limitPerSecond = limitPerSecond;
    state.bucket.updateShare();
  }

  private createState(endpointId: string, bornAtMs: number): LimitState {
    const { ownId } = this.deps;
    const state: LimitState = {
      endpointId,
      bornAtMs,
      limitPerSecond: undefined,
      observedAtMs: -Infinity,
      lastReturnAtMs: -Infinity,
      bucket: new ShareBucket({
        ...this.deps,
        shareAmong: daemonIds =>
          state.limitPerSecond === undefined
            ? NO_SHARE
            : shareOfLimit(endpointId, state.limitPerSecond, ownId, daemonIds),
      }),
    };
    return state;
  }

  /** Returns when the next rejected caller may return: callers that return take this daemon's equal part of the limit, at whichever daemon they arrive. */
  private nextReturnAtMs(state: LimitState, endpoint: EndpointRecord): number {
    const nowMs = this.deps.nowMs();
    const waitMs = this.waitMs(endpoint) ?? 0;
    const daemons = Math.max(1, state.bucket.daemonCount);
    const intervalMs =
      (daemons / Math.max(MIN_LIMIT_PER_SECOND, state.limitPerSecond ?? 0)) *
      MS_PER_SECOND;
    const firstWaitMs = Number.isFinite(waitMs) ? waitMs : intervalMs;
    return Math.max(nowMs + firstWaitMs, state.lastReturnAtMs + intervalMs);
  }
}
