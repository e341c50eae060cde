import type { VersionedResult, VersionPolicy } from '../moves/index.js';
import type {
  Address,
  CacheEvent,
  Endpoint,
  LoadReport,
} from '../ports/index.js';
import type {
  Attempt,
  AttemptResult,
  LeavingSource,
  Router,
  RouteRequest,
} from '../routing/index.js';
import { AttemptEnd } from '../routing/index.js';

/** Receives the dispatches of requests and their results by version, on which rollouts decide. */
export interface VersionObserver {
  onDispatch(group: string, kind: string): void;
  onResult(result: VersionedResult): void;
}

interface RunningAttempt {
  readonly version: string;
  readonly dispatchedAtMs: number;
}

/**
 * Decorates a router: restricts each request to the version that the rollout
 * policy chooses for it, and reports the results by version. A version named by
 * the request itself takes precedence.
 */
export class VersionedRouter implements Router {
  private readonly runningAttempts = new WeakMap<Attempt, RunningAttempt>();
  private readonly versionsByAddress = new Map<Address, string>();

  constructor(
    private readonly inner: Router,
    private readonly policy: VersionPolicy,
    private readonly observer: VersionObserver,
  ) {}

  choose(request: RouteRequest, nowMs: number): Endpoint | undefined {
    const endpoint = this.inner.choose(this.withVersion(request, nowMs), nowMs);
    if (endpoint !== undefined) {
      this.versionsByAddress.set(endpoint.address, endpoint.version);
    }
    return endpoint;
  }

  recordDispatch(attempt: Attempt, nowMs: number): void {
    const { group, kind } = attempt.request;
    const version = this.versionsByAddress.get(attempt.address);
    if (version !== undefined) {
      const running = { version, dispatchedAtMs: nowMs };
      this.runningAttempts.set(attempt, running);
    }
    this.observer.onDispatch(group, kind);
    this.inner.recordDispatch(attempt, nowMs);
  }

  recordEnd(attempt: Attempt, result: AttemptResult, nowMs: number): void {
    const running = this.runningAttempts.get(attempt);
    this.runningAttempts.delete(attempt);
    if (running !== undefined)
      this.reportResult(attempt, running, result, nowMs);
    this.inner.recordEnd(attempt, result, nowMs);
  }

  applyListing(endpoints: readonly Endpoint[], asOfMs: number): void {
    this.inner.applyListing(endpoints, asOfMs);
    const listedAddresses = new Set(
      endpoints.map(endpoint => endpoint.address),
    );
    for (const address of this.versionsByAddress.keys()) {
      if (!listedAddresses.has(address)) this.versionsByAddress.delete(address);
    }
  }

  addEndpoint(endpoint: Endpoint, asOfMs: number): void {
    this.inner.addEndpoint?.(endpoint, asOfMs);
  }

  applyPrices(prices: ReadonlyMap<Address, number>): void {
    this.inner.applyPrices?.(prices);
  }

  reportedWaitMs(group: string): number | undefined {
    return this.inner.reportedWaitMs?.(group);
  }

  applyLoad(address: Address, report: LoadReport, nowMs: number): void {
    this.inner.applyLoad(address, report, nowMs);
  }

  applyCacheEvents(address: Address, events: readonly CacheEvent[]): void {
    this.inner.applyCacheEvents(address, events);
  }

  markLeaving(address: Address, source: LeavingSource, nowMs: number): void {
    this.inner.markLeaving(address, source, nowMs);
  }

  endpoints(): readonly Endpoint[] {
    return this.inner.endpoints();
  }

  private withVersion(request: RouteRequest, nowMs: number): RouteRequest {
    if (request.version !== undefined) return request;
    const versionChoice = this.policy.choose(
      request,
      this.inner.endpoints(),
      nowMs,
    );
    const {
      fallbackVersion,
      excludedAddresses: unused,
      version,
    } = versionChoice;
    if (version === undefined) return request;
    if (fallbackVersion !== undefined && this.hasTried(request, version)) {
      return { ...request, version: fallbackVersion };
    }
    const excluded = new Set([...request.excluded, ...unused]);
    return { ...request, version, excluded };
  }

  /** Whether an endpoint of the version is excluded, which happens after a failed attempt. */
  private hasTried(request: RouteRequest, version: string): boolean {
    return [...request.excluded].some(
      address => this.versionsByAddress.get(address) === version,
    );
  }

  /** Reports an attempt that succeeded or failed; other ends give no evidence about the version. */
  private reportResult(
    attempt: Attempt,
    { dispatchedAtMs, version }: RunningAttempt,
    result: AttemptResult,
    nowMs: number,
  ): void {
    const { end, firstByteAtMs, generatedTokens } = result;
    if (end !== AttemptEnd.Succeeded && end !== AttemptEnd.Failed) return;
    const hasGaps = firstByteAtMs !== undefined && generatedTokens > 1;
    this.observer.onResult({
      group: attempt.request.group,
      kind: attempt.request.kind,
      version,
      failed: end === AttemptEnd.Failed,
      firstTokenMs:
        firstByteAtMs === undefined
          ? undefined
          : firstByteAtMs - dispatchedAtMs,
      tokenGapMs: hasGaps
        ? (nowMs - firstByteAtMs) / (generatedTokens - 1)
        : undefined,
    });
  }
}
