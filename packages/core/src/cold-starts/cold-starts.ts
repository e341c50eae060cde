import { ShareBucket } from '../endpoint-limits/index.js';
import type {
  ColdDispatch,
  ColdStart,
  ColdStartGuard,
  EndpointRecord,
} from '../forwarding/index.js';
import { UNRESTRICTED_DISPATCH } from '../forwarding/index.js';
import type { KnownDaemons } from '../membership/index.js';
import type { DataCentre, Log, Metrics } from '../ports/index.js';
import { LogComponent } from '../ports/index.js';
import type { ColdContext } from './cold-endpoint.js';
import { ColdEndpoint } from './cold-endpoint.js';
import type { ColdBound } from './cold-share.js';
import { coldLimitOf, shareOfColdLimit } from './cold-share.js';
import type { ColdEndpointHint } from './cold-start-hints.js';
import { MAX_SHARED_ENDPOINTS } from './cold-start-hints.js';
import { Settling } from './settling.js';

/** Time for which an endpoint is remembered that lists no longer show: after an outage of the store it is not new. */
const UNLISTED_RETENTION_MS = 600_000; // longer than most outages
/** Time after which a caller may return that this daemon has no share for; it probably arrives at one that has. */
const OTHERS_TURN_MS = 1_000; // about the time in which a share allows one request
/** Longest time for which a response can make an endpoint cold, so that a faulty one does not withhold it for good. */
const MAX_STATED_MS = 600_000;
/** Time by which the end that a peer names may exceed the cold time from now, as clocks differ. */
const MAX_CLOCK_DIFFERENCE_MS = 1_000;

export interface ColdStartsDependencies {
  readonly ownId: string;
  readonly nowMs: () => number;
  /** Returns the milliseconds since the Unix epoch on which most daemons agree. */
  readonly timeMs: () => number;
  readonly daemons: KnownDaemons;
  readonly bound: ColdBound;
  /** Returns how a group's endpoints start; undefined if they are never cold. */
  readonly coldStartOf: (group: string) => ColdStart | undefined;
  /** Returns the latest start of a read that confirms the list of endpoints in use. */
  readonly listConfirmedAtMs: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** An endpoint and the requests that this daemon may send it while it is cold. */
interface GuardedEndpoint {
  readonly state: ColdEndpoint;
  readonly bucket: ShareBucket;
  /** Settings for which the share of the bucket was computed. */
  sharedColdStart: ColdStart | undefined;
  /** As logged last. */
  isCold: boolean;
}

/**
 * Keeps the requests that all daemons together send to an endpoint which has just
 * started below a bound in any one second. Meant for groups whose endpoints fail
 * under their ordinary load while they are cold, a whole data centre of them at
 * once after a loss or an evacuation. Each daemon keeps to its share by a token
 * bucket, so that no call between daemons is needed before a request is sent.
 */
export class ColdStarts implements ColdStartGuard {
  private readonly byId = new Map<string, GuardedEndpoint>();
  private readonly evacuationEndsAtMs = new Map<DataCentre, number>();
  private readonly settling: Settling;
  private hasList = false;
  private sharedHints: readonly ColdEndpointHint[] = [];
  /** Difference of the two clocks; working out the time on which most daemons agree is too slow for each request. */
  private clockOffsetMs: number | undefined;

  constructor(private readonly deps: ColdStartsDependencies) {
    this.settling = new Settling(deps.nowMs, deps.daemons);
  }

  waitMs(endpoint: EndpointRecord): number {
    const remainingMs = this.remainingMs(endpoint);
    if (remainingMs === 0) return 0;
    const settlingMs = this.settling.waitMs();
    if (settlingMs > 0) return Math.min(remainingMs, settlingMs);
    const waitMs = this.bucketOf(endpoint).waitMs();
    return Math.min(
      remainingMs,
      Number.isFinite(waitMs) ? waitMs : OTHERS_TURN_MS,
    );
  }

  recordDispatch(endpoint: EndpointRecord): ColdDispatch {
    const { coldStartOf, metrics } = this.deps;
    if (coldStartOf(endpoint.group) === undefined) return UNRESTRICTED_DISPATCH;
    let held: ShareBucket | undefined;
    if (this.remainingMs(endpoint) > 0) {
      held = this.bucketOf(endpoint);
      held.hold();
    }
    const endHold = () => {
      held?.release();
      held = undefined;
    };
    return {
      mayWrite: () => {
        const bucket = this.bucketOf(endpoint);
        // The endpoint has started again, which has a bucket of its own.
        if (held !== bucket) endHold();
        const isCold = this.remainingMs(endpoint) > 0;
        const mayWrite =
          !isCold ||
          (held === undefined
            ? this.waitMs(endpoint) === 0
            : this.hasShare(held));
        if (isCold)
          metrics.increment('coldStarts.requests', 1, {
            outcome: mayWrite ? 'written' : 'withheld',
          });
        if (!mayWrite) return false;
        // Counted also while the endpoint is warm: it may turn out to have become cold.
        if (held === undefined) bucket.take();
        else held.spend();
        held = undefined;
        return true;
      },
      end: endHold,
    };
  }

  recordStatement(endpoint: EndpointRecord, coldMs: number): void {
    const untilMs = this.deps.nowMs() + Math.min(coldMs, MAX_STATED_MS);
    this.guardedOf(endpoint).state.recordStatement(untilMs);
  }

  recordConnectionFailure({ id }: EndpointRecord): void {
    this.byId.get(id)?.state.recordConnectionFailure(this.deps.nowMs());
  }

  applyListing(endpoints: readonly EndpointRecord[], readAtMs: number): void {
    const nowMs = this.deps.nowMs();
    for (const { state } of this.byId.values()) state.isListed = false;
    for (const endpoint of endpoints) {
      const known = this.byId.get(endpoint.id);
      const guarded = known?.state.isSameIncarnation(endpoint)
        ? known
        : this.add(endpoint, this.hasList ? nowMs : -Infinity);
      guarded.state.applyEntry(endpoint, readAtMs, nowMs);
    }
    this.hasList = true;
    for (const [id, { state }] of this.byId) {
      const isOld = nowMs - state.listedAtMs > UNLISTED_RETENTION_MS;
      if (!state.isListed && isOld) this.byId.delete(id);
    }
  }

  recordEvacuationEnd(dataCentre: DataCentre): void {
    this.evacuationEndsAtMs.set(dataCentre, this.deps.nowMs());
  }

  /** Logs which endpoints have become cold or warm, and prepares the hints. To be called every half second. */
  step(): Promise<void> {
    const { metrics, nowMs, timeMs } = this.deps;
    this.settling.step();
    this.clockOffsetMs = timeMs() - nowMs();
    const hints: ColdEndpointHint[] = [];
    let cold = 0;
    for (const guarded of this.byId.values()) {
      const context = this.contextOf(guarded.state);
      if (context === undefined) continue;
      const remainingMs = guarded.state.remainingMs(context);
      if (remainingMs > 0 && guarded.state.isListed) cold += 1;
      if (guarded.isCold !== remainingMs > 0)
        this.logChange(guarded, context, remainingMs);
      const coldUntilMs = guarded.state.certainUntilMs(context);
      if (coldUntilMs > context.timeMs)
        hints.push({ ...identityOf(guarded.state), coldUntilMs });
    }
    metrics.gauge('coldStarts.endpoints', cold);
    this.sharedHints = hints
      .sort((left, right) => right.coldUntilMs - left.coldUntilMs)
      .slice(0, MAX_SHARED_ENDPOINTS);
    return Promise.resolve();
  }

  /** Returns the endpoints that are certainly cold, for this daemon's hints to its peers, the last to become warm first. */
  hints(): ColdEndpointHint[] {
    return [...this.sharedHints];
  }

  /** Applies a peer's hints. */
  applyPeer(hints: readonly ColdEndpointHint[]): void {
    for (const { bornAtMs, coldUntilMs, endpointId } of hints) {
      const state = this.byId.get(endpointId)?.state;
      const context = state && this.contextOf(state);
      if (state === undefined || context === undefined) continue;
      const { durationMs, timeMs } = context;
      const latestMs = timeMs + durationMs + MAX_CLOCK_DIFFERENCE_MS;
      // A later incarnation under this id gets the requests that are sent to this one.
      const isCurrent = bornAtMs >= (state.record.bornAtMs ?? 0);
      if (isCurrent && coldUntilMs <= latestMs)
        state.recordPeerStatement(coldUntilMs);
    }
  }

  /** Returns for how long an endpoint still counts as cold; 0 if it is not cold. */
  private remainingMs(endpoint: EndpointRecord): number {
    const { state } = this.guardedOf(endpoint);
    const context = this.contextOf(state);
    return context === undefined ? 0 : state.remainingMs(context);
  }

  /** Returns what decides on an endpoint now; undefined if those of its group are never cold. */
  private contextOf({ record }: ColdEndpoint): ColdContext | undefined {
    const { coldStartOf, listConfirmedAtMs, nowMs } = this.deps;
    const coldStart = coldStartOf(record.group);
    if (coldStart === undefined) return undefined;
    return {
      nowMs: nowMs(),
      timeMs: this.timeMs(),
      durationMs: coldStart.durationMs,
      listConfirmedAtMs,
      evacuationEndedAtMs:
        this.evacuationEndsAtMs.get(record.dataCentre) ?? -Infinity,
    };
  }

  private timeMs(): number {
    const { nowMs, timeMs } = this.deps;
    this.clockOffsetMs ??= timeMs() - nowMs();
    return nowMs() + this.clockOffsetMs;
  }

  /** Whether this daemon still has a share, after a pause or a change of the daemons that count. */
  private hasShare(bucket: ShareBucket): boolean {
    return this.settling.waitMs() === 0 && Number.isFinite(bucket.waitMs());
  }

  /** Returns the bucket of an endpoint with this daemon's present share. */
  private bucketOf(endpoint: EndpointRecord): ShareBucket {
    const guarded = this.guardedOf(endpoint);
    const { bucket, sharedColdStart } = guarded;
    const coldStart = this.deps.coldStartOf(endpoint.group);
    if (coldStart !== sharedColdStart) bucket.updateShare();
    guarded.sharedColdStart = coldStart;
    return bucket;
  }

  private guardedOf(endpoint: EndpointRecord): GuardedEndpoint {
    return this.byId.get(endpoint.id) ?? this.add(endpoint, -Infinity);
  }

  /** Adds an incarnation of an endpoint; `appearedAtMs` is -Infinity if it may have been listed for long. */
  private add(endpoint: EndpointRecord, appearedAtMs: number): GuardedEndpoint {
    const { bound, coldStartOf, daemons, nowMs, ownId } = this.deps;
    const { bornAtMs, group, id } = endpoint;
    const ageMs = Math.max(0, this.timeMs() - (bornAtMs ?? -Infinity));
    const shareAmong = (daemonIds: readonly string[]) =>
      shareOfColdLimit(
        id,
        coldLimitOf(coldStartOf(group)?.requestsPerSecond ?? 0, bound),
        ownId,
        daemonIds,
      );
    const guarded: GuardedEndpoint = {
      state: new ColdEndpoint(endpoint, nowMs() - ageMs, appearedAtMs, nowMs()),
      bucket: new ShareBucket({ nowMs, daemons, shareAmong }),
      sharedColdStart: undefined,
      isCold: false,
    };
    guarded.bucket.fill();
    this.byId.set(id, guarded);
    return guarded;
  }

  private logChange(
    guarded: GuardedEndpoint,
    context: ColdContext,
    remainingMs: number,
  ): void {
    const { log, metrics } = this.deps;
    const { state } = guarded;
    const { endpointId } = identityOf(state);
    const { group } = state.record;
    guarded.isCold = remainingMs > 0;
    if (!guarded.isCold) {
      log.info(LogComponent.Routing, 'An endpoint is no longer cold.', {
        endpoint: endpointId,
        group,
      });
      return;
    }
    const reason = state.reason(context);
    metrics.increment('coldStarts.changed', 1, { reason });
    log.info(LogComponent.Routing, 'An endpoint is cold.', {
      endpoint: endpointId,
      group,
      reason,
      remainingMs: Math.round(remainingMs),
      sharePerSecond: this.bucketOf(state.record).sharePerSecond,
    });
  }
}

function identityOf({
  record,
}: ColdEndpoint): Pick<ColdEndpointHint, 'endpointId' | 'bornAtMs'> {
  return { endpointId: record.id, bornAtMs: record.bornAtMs ?? 0 };
}
