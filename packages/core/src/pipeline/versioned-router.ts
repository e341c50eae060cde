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

/** Learns how the requests of each version end. */
export interface VersionObserver {
  onDispatch(group: string, kind: string): void;
  onResult(result: VersionedResult): void;
}

interface RunningAttempt {
  readonly version: string;
  readonly dispatchedAtMs: number;
}

/**
 * Router that keeps requests to the version that the moves choose for them and
 * reports how they end. A version that the request itself names goes first.
 */
export class VersionedRouter implements Router {
  private readonly running = new WeakMap<Attempt, RunningAttempt>();
  private readonly versions = new Map<Address, string>();

  constructor(
    private readonly inner: Router,
    private readonly policy: VersionPolicy,
    private readonly observer: VersionObserver,
  ) {}

  choose(request: RouteRequest, nowMs: number): Endpoint | undefined {
    const endpoint = this.inner.choose(this.withVersion(request, nowMs), nowMs);
    if (endpoint !== undefined) {
      this.versions.set(endpoint.address, endpoint.version);
    }
    return endpoint;
  }

  recordDispatch(attempt: Attempt, nowMs: number): void {
    const { group, kind } = attempt.request;
    const version = this.versions.get(attempt.address);
    if (version !== undefined) {
      const running = { version, dispatchedAtMs: nowMs };
      this.running.set(attempt, running);
    }
    this.observer.onDispatch(group, kind);
    this.inner.recordDispatch(attempt, nowMs);
  }

  recordEnd(attempt: Attempt, result: AttemptResult, nowMs: number): void {
    const running = this.running.get(attempt);
    this.running.delete(attempt);
    if (running !== undefined) this.report(attempt, running, result, nowMs);
    this.inner.recordEnd(attempt, result, nowMs);
  }

  applyListing(endpoints: readonly Endpoint[], asOfMs: number): void {
    this.inner.applyListing(endpoints, asOfMs);
    const listed = new Set(endpoints.map(each => each.address));
    for (const address of this.versions.keys()) {
      if (!listed.has(address)) this.versions.delete(address);
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
    const choice = this.policy.choose(request, this.inner.endpoints(), nowMs);
    const { fallbackVersion, unused, version } = choice;
    if (version === undefined) return request;
    if (fallbackVersion !== undefined && this.hasTried(request, version)) {
      return { ...request, version: fallbackVersion };
    }
    const excluded = new Set([...request.excluded, ...unused]);
    return { ...request, version, excluded };
  }

  /** True where an endpoint of the version is excluded, as after a failed attempt. */
  private hasTried(request: RouteRequest, version: string): boolean {
    return [...request.excluded].some(
      address => this.versions.get(address) === version,
    );
  }

  /** Reports an attempt that succeeded or failed; others say nothing of the version. */
  private report(
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
