import type {
  Address,
  CacheEvent,
  Clock,
  Cloud,
  Endpoint,
  Engine,
  FleetListing,
  Log,
  Price,
} from '@skylarkreach/core/ports';
import {
  CacheEventKind,
  EndpointKind,
  EndpointStage,
  LogPart,
  PlatformError,
} from '@skylarkreach/core/ports';
import type { Router } from '@skylarkreach/core/routing';
import { LeavingSource } from '@skylarkreach/core/routing';

const CALL_TIMEOUT_MS = 2_000;
const PRICE_INTERVAL_MS = 60_000;

/** Tells the router of the platform's list, reclaim notices, prices, loads and cache events. */
export class EndpointPoll {
  private readonly lastSequences = new Map<Address, number>();
  private nextPricesAtMs = 0;

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
    await this.readPrices(listing);
  }

  /** Reads the prices of the listed endpoints, where the last ones have grown old. */
  private async readPrices(listing: FleetListing): Promise<void> {
    const nowMs = this.clock.nowMs();
    if (nowMs < this.nextPricesAtMs) return;
    this.nextPricesAtMs = nowMs + PRICE_INTERVAL_MS;
    const prices = await this.cloud.prices(nowMs + CALL_TIMEOUT_MS);
    this.router.applyPrices?.(pricesByAddress(listing, prices));
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
      await this.readCacheEvents(address, deadlineAtMs);
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      this.log.warn(LogPart.Routing, 'An endpoint gave no load report.', {
        endpoint: address,
        error: error.message,
      });
    }
  }

  /** Reads new cache events; after a gap, all that the engine has kept, in the next round. */
  private async readCacheEvents(
    address: Address,
    deadlineAtMs: number,
  ): Promise<void> {
    const lastSequence = this.lastSequences.get(address) ?? 0;
    const events = await this.engine.cacheEvents(
      address,
      lastSequence,
      deadlineAtMs,
    );
    this.router.applyCacheEvents(address, events);
    const newest = events.at(-1)?.sequence ?? lastSequence;
    const isResync = lastSequence === 0;
    const hasLost = hasGap(events, lastSequence) && !isResync;
    this.lastSequences.set(address, hasLost ? 0 : newest);
  }

  private markLeaving(endpoint: Endpoint, source: LeavingSource): void {
    if (endpoint.stage === EndpointStage.Leaving) return;
    this.router.markLeaving(endpoint.address, source, this.clock.nowMs());
    this.log.info(LogPart.Routing, `endpoint ${endpoint.address} is leaving`, {
      source,
    });
  }
}

function hasGap(events: readonly CacheEvent[], lastSequence: number): boolean {
  let expected = lastSequence + 1;
  for (const { kind, sequence } of events) {
    if (kind === CacheEventKind.Gap || sequence !== expected) return true;
    expected = sequence + 1;
  }
  return false;
}

function pricesByAddress(
  listing: FleetListing,
  prices: readonly Price[],
): ReadonlyMap<Address, number> {
  const instances = new Map(listing.instances.map(each => [each.id, each]));
  const byAddress = new Map<Address, number>();
  for (const { address, instanceId } of listing.endpoints) {
    const instance = instances.get(instanceId);
    const price = prices.find(
      each =>
        each.machineClass === instance?.machineClass &&
        each.dataCentre === instance.dataCentre &&
        each.billing === instance.billing,
    );
    if (price !== undefined) byAddress.set(address, price.pricePerHour);
  }
  return byAddress;
}
