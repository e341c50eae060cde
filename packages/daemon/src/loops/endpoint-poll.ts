import type {
  Clock,
  Cloud,
  Endpoint,
  Engine,
  Log,
} from '@skylarkreach/core/platform';
import {
  EndpointKind,
  EndpointStage,
  LogPart,
  PlatformError,
} from '@skylarkreach/core/platform';
import type { Router } from '@skylarkreach/core/routing';
import { LeavingSource } from '@skylarkreach/core/routing';

const CALL_TIMEOUT_MS = 2_000;

/** Tells the router of the platform's list, reclaim notices, loads and cache events. */
export class EndpointPoll {
  private readonly lastSequences = new Map<string, number>();

  constructor(
    private readonly cloud: Cloud,
    private readonly engine: Engine,
    private readonly router: Router,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Reads the platform's list and its reclaim notices. */
  async readListing(): Promise<void> {
    const deadlineAtMs = this.clock.nowMs() + CALL_TIMEOUT_MS;
    const listing = await this.cloud.list(deadlineAtMs);
    this.router.applyListing(listing.endpoints, listing.asOfMs);
    const notices = await this.cloud.reclaimNotices(deadlineAtMs);
    const leaving = new Set(notices.map(notice => notice.instanceId));
    for (const endpoint of this.router.endpoints()) {
      if (leaving.has(endpoint.instanceId)) {
        this.markLeaving(endpoint, LeavingSource.Notice);
      }
    }
  }

  /** Reads the load and the cache events of every live model endpoint. */
  async readLoads(): Promise<void> {
    const models = this.router
      .endpoints()
      .filter(endpoint => endpoint.kind === EndpointKind.Model)
      .filter(endpoint => endpoint.stage !== EndpointStage.Gone);
    await Promise.all(models.map(endpoint => this.readEndpoint(endpoint)));
  }

  private async readEndpoint(endpoint: Endpoint): Promise<void> {
    const { address } = endpoint;
    const deadlineAtMs = this.clock.nowMs() + CALL_TIMEOUT_MS;
    try {
      const report = await this.engine.load(address, deadlineAtMs);
      this.router.applyLoad(address, report, this.clock.nowMs());
      if (report.leaving) this.markLeaving(endpoint, LeavingSource.Refusal);
      const lastSequence = this.lastSequences.get(address) ?? 0;
      const events = await this.engine.cacheEvents(
        address,
        lastSequence,
        deadlineAtMs,
      );
      this.router.applyCacheEvents(address, events);
      const newest = events.at(-1)?.sequence ?? lastSequence;
      this.lastSequences.set(address, newest);
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      this.log.warn(LogPart.Routing, 'An endpoint gave no load report.', {
        endpoint: address,
        error: error.message,
      });
    }
  }

  private markLeaving(endpoint: Endpoint, source: LeavingSource): void {
    if (endpoint.stage === EndpointStage.Leaving) return;
    this.router.markLeaving(endpoint.address, source, this.clock.nowMs());
    this.log.info(LogPart.Routing, `endpoint ${endpoint.address} is leaving`, {
      source,
    });
  }
}
