import type {
  Clock,
  Log,
  LogFields,
  Metrics,
  Workspace,
} from '../ports/index.js';
import { LogComponent } from '../ports/index.js';
import type { RetryAllowance } from '../routing/index.js';
import { chooseGroup } from './choose-group.js';
import type { ConfigurationStore } from './configuration-store.js';
import type { CrashDetector } from './crash-detector.js';
import type { CrashGuard } from './crash-guard.js';
import type { DataCentreGate } from './data-centre-gate.js';
import { dataCentreBarrierError } from './data-centre-gate.js';
import type { DaemonShedder, DispatchGate } from './dispatch-gate.js';
import type { DispatchWindow } from './dispatch-window.js';
import type { EndpointPool } from './endpoint-pool.js';
import type { FirstEventObserver } from './first-event-observer.js';
import {
  daemonStoppingError,
  ForwardError,
  ForwardErrorKind,
  requestBlockedError,
  timedOutNotRunError,
} from './forward-error.js';
import type {
  ForwardProtocol,
  ForwardRequest,
  RequestHead,
} from './forward-request.js';
import { deadlineOf } from './forward-request.js';
import { ForwardRun } from './forward-run.js';
import type { RequestHomes } from './home-regions.js';
import type { OutputEstimator } from './output-estimator.js';
import { fingerprintOf, suspectIdsOf } from './request-fingerprint.js';
import type { RelayedPart, RequestRelay } from './request-relay.js';
import {
  RelayedTokens,
  requestedTokens,
  RequestTokens,
} from './request-tokens.js';
import type { ResolvedRequest } from './resolve-request.js';
import { resolveRequest } from './resolve-request.js';
import type { ResponseMemory } from './response-memory.js';
import type { RunContext, TokenGuard } from './run-context.js';
import type { TokenBucketLedger } from './token-bucket-ledger.js';
import type { ResponseWriter, Upstream } from './upstream.js';

/** Constraint on the endpoint versions that a request may use. */
export interface VersionConstraint {
  readonly only?: string;
  readonly not?: string;
}

export const ANY_VERSION: VersionConstraint = {};

/** Chooses the endpoint versions for the requests of a group, and collects their results. */
export interface VersionSelector {
  /** Returns the constraint for the first attempt of a request. */
  choose(group: string): VersionConstraint;
  /** Returns the constraint for each retry. */
  chooseForRetry(group: string): VersionConstraint;
  /** Starts the observation of an attempt that is sent now. */
  observe(attempt: VersionedAttempt): AttemptObservation;
}

/** One attempt, by which its endpoint's version is assessed. */
export interface VersionedAttempt {
  readonly group: string;
  readonly version: string;
  readonly route: string;
}

/** Receives the progress of one attempt. */
export interface AttemptObservation {
  /** Records events of a stream that arrived at `nowMs`; a complete plain response counts as one event. */
  recordEvents(count: number, nowMs: number): void;
  /** Ends the observation. `failed` is undefined if the result says nothing about the endpoint. */
  end(failed: boolean | undefined): void;
}

/** Counter of the requests that endpoints have started. */
export interface UsageCounter {
  /** `startedAgoMs` is the time since the endpoint started the request. */
  count(workspace: Workspace, startedAgoMs: number): void;
}

export interface ForwarderDependencies {
  readonly clock: Clock;
  /** Resolves after all connections have been polled once more. */
  readonly nextPoll: () => Promise<void>;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly protocol: ForwardProtocol;
  readonly upstream: Upstream;
  readonly crashDetector: CrashDetector;
  readonly crashGuard: CrashGuard;
  readonly configuration: ConfigurationStore;
  readonly pool: EndpointPool;
  /** Returns the time since the endpoint list in use was last known to be current. */
  readonly endpointListAgeMs: () => number;
  readonly tokenBuckets: TokenBucketLedger;
  readonly retryBudgetOf: (group: string) => RetryAllowance;
  readonly versions: VersionSelector;
  readonly dataCentres: DataCentreGate;
  readonly usageCounter: UsageCounter;
  /** Absent if first events are not counted. */
  readonly firstEvents?: FirstEventObserver | undefined;
  /** Absent if the placement of requests does not depend on their output. */
  readonly outputEstimator?: OutputEstimator;
  readonly requestRelay: RequestRelay;
  readonly dispatchWindow: DispatchWindow;
  readonly responseMemory: ResponseMemory;
  /** Where requests wait for capacity; they never wait if absent. */
  readonly dispatchGate?: DispatchGate | undefined;
  /** Refuses what this daemon is too slow to forward, if given. */
  readonly shedder?: DaemonShedder | undefined;
  /** Whether engines are told the priority of requests. */
  readonly sendsPriority?: () => boolean;
}

/** Request with its route, its workspace and what identifies repetitions of it. */
interface IdentifiedRequest extends ResolvedRequest {
  readonly fingerprint: string;
  readonly suspectIds: readonly string[];
}

/** Group that serves a request, and where the request may go. */
interface RequestTarget {
  readonly group: string;
  readonly homes: RequestHomes | undefined;
}

/** Forwards callers' requests to endpoints: resolves the route and workspace, applies the rate limit, runs the attempts, and records the outcome. */
export class Forwarder {
  constructor(private readonly deps: ForwarderDependencies) {}

  /**
   * Handles one request. Abort the signal when the caller disconnects, or with a
   * `ForwardError` to end the request. Throws `ForwardError` if the daemon itself
   * has to answer with an error.
   */
  handle(
    request: ForwardRequest,
    sink: ResponseWriter,
    signal: AbortSignal,
  ): Promise<void> {
    return this.serve(request, sink, signal);
  }

  /** Makes one attempt for a request that a peer has admitted and passed on. */
  handleRelayed(
    request: ForwardRequest,
    relayed: RelayedPart,
    sink: ResponseWriter,
    signal: AbortSignal,
  ): Promise<void> {
    return this.serve(request, sink, signal, relayed);
  }

  private async serve(
    request: ForwardRequest,
    sink: ResponseWriter,
    signal: AbortSignal,
    relayed?: RelayedPart,
  ): Promise<void> {
    const requests = relayed === undefined ? 'requests' : 'relayedRequests';
    let resolved: IdentifiedRequest | undefined;
    let run: ForwardRun | undefined;
    let tokens: TokenGuard | undefined;
    try {
      resolved = this.resolve(request);
      this.rejectLate(request);
      this.rejectBlocked(resolved);
      const target = this.chooseTarget(request, resolved);
      const context = this.createContext(request, resolved, target, relayed);
      tokens = context.tokenGuard;
      this.admit(context);
      run = new ForwardRun(this.deps, context, sink);
      await run.serve(signal);
      this.recordOutcome(requests, request, resolved, run, run.outcome);
    } catch (error) {
      const outcome = error instanceof ForwardError ? error.kind : 'error';
      this.recordOutcome(requests, request, resolved, run, outcome, error);
      throw error;
    } finally {
      tokens?.close();
    }
  }

  /** Throws `ForwardError` if the request has timed out, or may last beyond the end of this stopping daemon. */
  rejectLate(head: RequestHead): void {
    const { clock, configuration, dispatchWindow } = this.deps;
    const { metadata, target } = head;
    const route = configuration.findRoute(metadata.host, target);
    if (route === undefined) return;
    const deadlineAtMs = deadlineOf(head, route);
    if (deadlineAtMs <= clock.nowMs()) throw timedOutNotRunError();
    if (!dispatchWindow.isOpenUntil(deadlineAtMs)) throw daemonStoppingError();
  }

  /** Throws `ForwardError` if this daemon is too slow for a request of which only the head was read. */
  rejectExcess(head: RequestHead): void {
    const { clock, configuration, metrics, shedder } = this.deps;
    if (shedder === undefined) return;
    const { metadata, receivedAtMs, target } = head;
    const route = configuration.findRoute(metadata.host, target);
    if (route === undefined) return;
    const workspace = configuration.findByKey(metadata.apiKey ?? '');
    const request = {
      priority: workspace?.priority ?? route.priority,
      objectiveAtMs: receivedAtMs + route.latencyObjectiveMs,
      deadlineAtMs: deadlineOf(head, route),
    };
    const retryInMs = shedder.refusedForMs(request, clock.nowMs());
    if (retryInMs === undefined) return;
    metrics.increment('daemon.shed', 1, { route: route.name });
    throw new ForwardError(
      ForwardErrorKind.Overloaded,
      'This daemon is overloaded; send the request again later.',
      retryInMs,
    );
  }

  private resolve(request: ForwardRequest): IdentifiedRequest {
    const { configuration } = this.deps;
    const { metadata, target } = request;
    const resolved = resolveRequest(configuration, metadata, target);
    const fingerprint = fingerprintOf(request, resolved.workspace?.workspace);
    const suspectIds = suspectIdsOf(request, fingerprint);
    return { ...resolved, fingerprint, suspectIds };
  }

  /** Throws `ForwardError` if the request or a part of its prompt crashes endpoints. */
  private rejectBlocked({ suspectIds }: IdentifiedRequest): void {
    const blockedForMs = this.deps.crashGuard.blockedForMs(suspectIds);
    if (blockedForMs === undefined) return;
    throw requestBlockedError(blockedForMs);
  }

  /**
   * Throws `ForwardError` if the rate limit of the request's workspace is exceeded.
   * The tokens of a request that may wait for capacity are deducted once it is sent.
   */
  private admit({ tokenCharge }: RunContext): void {
    if (this.deps.dispatchGate === undefined) tokenCharge?.take();
    else tokenCharge?.check();
  }

  private createContext(
    request: ForwardRequest,
    resolved: IdentifiedRequest,
    { group, homes }: RequestTarget,
    relayed: RelayedPart | undefined,
  ): RunContext {
    const { deps } = this;
    const budget = deps.retryBudgetOf(group);
    const { suspectIds, workspace } = resolved;
    const context = { request, resolved, suspectIds, group, budget, homes };
    if (relayed !== undefined) {
      const tokenGuard = new RelayedTokens(deps, request, workspace);
      return { ...context, tokenGuard, relayed };
    }
    const tokenCharge = new RequestTokens(deps, request, workspace);
    return { ...context, tokenGuard: tokenCharge, tokenCharge };
  }

  /** Returns where the request may go. Throws `ForwardError` if no data centre may serve it. */
  private chooseTarget(
    { requestId }: ForwardRequest,
    { homeRegions, route }: IdentifiedRequest,
  ): RequestTarget {
    const { dataCentres } = this.deps;
    const group = chooseGroup(route, requestId);
    if (group === undefined) {
      throw new ForwardError(
        ForwardErrorKind.NoEndpoint,
        `Route ${route.name} has no target with a weight; give one a weight above 0.`,
        0,
      );
    }
    const homes = dataCentres.homesOf(homeRegions);
    const barrier = dataCentres.findBarrier(group, homes);
    if (barrier !== undefined) throw dataCentreBarrierError(barrier, group);
    return { group, homes };
  }

  private recordOutcome(
    requests: 'requests' | 'relayedRequests',
    request: ForwardRequest,
    resolved: IdentifiedRequest | undefined,
    run: ForwardRun | undefined,
    outcome: string,
    error?: unknown,
  ): void {
    const { clock, log, metrics } = this.deps;
    const elapsedMs = clock.nowMs() - request.receivedAtMs;
    const route = resolved?.route.name ?? 'none';
    const isRelayed = requests === 'relayedRequests';
    metrics.increment(requests, 1, { outcome });
    if (!isRelayed) metrics.timingMs('request', elapsedMs, { outcome });
    const fields: LogFields = {
      requestId: request.requestId,
      route,
      outcome,
      fingerprint: resolved?.fingerprint ?? '',
      elapsedMs: Math.round(elapsedMs),
      workspace: resolved?.workspace?.workspace ?? '',
      tokens: requestedTokens(request) ?? 0,
      configurationVersion: resolved?.configurationVersion ?? 0,
      endpointRevision: this.deps.pool.revision,
      ...(isRelayed && { isRelayed }),
      ...run?.summary(),
      ...(error instanceof Error ? { error: error.message } : {}),
    };
    if (error === undefined || error instanceof ForwardError) {
      log.info(LogComponent.Forwarding, 'A request has ended.', fields);
    } else {
      log.error(
        LogComponent.Forwarding,
        'Forwarding a request failed with an unexpected internal error.',
        fields,
      );
    }
  }
}
