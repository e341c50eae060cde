import type {
  Address,
  CacheEvent,
  Clock,
  CloudClient,
  Endpoint,
  EngineClient,
  FleetListing,
  Log,
  Price,
} from '@skylarkreach/core/ports';
import {
  CacheEventKind,
  EndpointKind,
  EndpointStage,
  LogComponent,
  PlatformError,
} from '@skylarkreach/core/ports';
import type { Router } from '@skylarkreach/core/routing';
import { LeavingSource } from '@skylarkreach/core/routing';

const CALL_TIMEOUT_MS = 2_000;
const PRICE_INTERVAL_MS = 60_000;

/** Poller that updates the router with the platform's listing, reclaim notices and prices, and with the endpoints' loads and cache events. */
export class EndpointPoller {
  private readonly lastSequences = new Map<Address, number>();
  private nextPricesAtMs = 0;

  constructor(
    private readonly cloud: CloudClient,
    private readonly engine: EngineClient,
    private readonly router: Router,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Number of endpoints whose cache events are followed. */
  get followedCount(): number {
    return this.lastSequences.size;
  }

  /** Reads the platform's listing and reclaim notices, and the prices when they are due. */
  async readListing(): Promise<void> {
    const deadlineAtMs = this.clock.nowMs() + CALL_TIMEOUT_MS;
    const listing = await this.cloud.list(deadlineAtMs);
    this.router.applyListing(listing.endpoints, listing.asOfMs);
    const notices = await this.cloud.reclaimNotices(deadlineAtMs);
    const leavingInstanceIds = new Set(
      notices.map(notice => notice.instanceId),
    );
    for (const endpoint of this.router.endpoints()) {
      if (leavingInstanceIds.has(endpoint.instanceId)) {
        this.markLeaving(endpoint, LeavingSource.Notice);
      }
    }
    await this.readPrices(listing);
  }

  /** Reads the prices of the listed endpoints, if the interval since the last read has passed. */
  private async readPrices(listing: FleetListing): Promise<void> {
    const nowMs = this.clock.nowMs();
    if (nowMs < this.nextPricesAtMs) return;
    this.nextPricesAtMs = nowMs + PRICE_INTERVAL_MS;
    const prices = await this.cloud.prices(nowMs + CALL_TIMEOUT_MS);
    this.router.applyPrices?.(pricesByAddress(listing, prices));
  }

  /** Reads the load and the cache events of all live model endpoints. */
  async readLoads(): Promise<void> {
    const models = this.router
      .endpoints()
      .filter(endpoint => endpoint.kind === EndpointKind.Model)
      .filter(endpoint => endpoint.stage !== EndpointStage.Terminated);
    const addresses = new Set(models.map(endpoint => endpoint.address));
    for (const address of this.lastSequences.keys())
      if (!addresses.has(address)) this.lastSequences.delete(address);
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
      this.log.warn(
        LogComponent.Routing,
        'The load or cache events of an endpoint could not be read.',
        {
          endpoint: address,
          error: error.message,
        },
      );
    }
  }

  /** Reads new cache events. After a gap, the next poll reads all events that the engine has kept. */
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
    const newestSequence = events.at(-1)?.sequence ?? lastSequence;
    const isResync = lastSequence === 0;
    const hasMissedEvents = hasGap(events, lastSequence) && !isResync;
    this.lastSequences.set(address, hasMissedEvents ? 0 : newestSequence);
  }

  private markLeaving(endpoint: Endpoint, source: LeavingSource): void {
    if (endpoint.stage === EndpointStage.Leaving) return;
    this.router.markLeaving(endpoint.address, source, this.clock.nowMs());
    this.log.info(
      LogComponent.Routing,
      `endpoint ${endpoint.address} is leaving`,
      {
        source,
      },
    );
  }
}

function hasGap(events: readonly CacheEvent[], lastSequence: number): boolean {
  let expectedSequence = lastSequence + 1;
  for (const { kind, sequence } of events) {
    if (kind === CacheEventKind.Gap || sequence !== expectedSequence)
      return true;
    expectedSequence = sequence + 1;
  }
  return false;
}

function pricesByAddress(
  listing: FleetListing,
  prices: readonly Price[],
): ReadonlyMap<Address, number> {
  const instancesById = new Map(
    listing.instances.map(instance => [instance.id, instance]),
  );
  const pricePerHourByAddress = new Map<Address, number>();
  for (const { address, instanceId } of listing.endpoints) {
    const instance = instancesById.get(instanceId);
    const price = prices.find(
      candidate =>
        candidate.machineClass === instance?.machineClass &&
        candidate.dataCentre === instance.dataCentre &&
        candidate.billing === instance.billing,
    );
    if (price !== undefined)
      pricePerHourByAddress.set(address, price.pricePerHour);
  }
  return pricePerHourByAddress;
}
