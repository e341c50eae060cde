import type {
  Clock,
  CloudClient,
  DaemonIdentity,
  Endpoint,
  FleetListing,
  Instance,
  Price,
  ReclaimNotice,
  StartRequest,
  StartResult,
} from '@skylarkreach/core/ports';
import {
  EndpointStage,
  InstanceState,
  NotSentError,
  StartOutcome,
} from '@skylarkreach/core/ports';

/**
 * In-memory implementation of `Cloud`. The fleet listing lags behind the current
 * state, as the platform's does; reclaim notices and prices do not.
 */
export class MemoryCloud implements CloudClient {
  /** Whether every start request is refused. */
  refusesStarts = false;
  /** Returns whether there is capacity for a start request. */
  hasCapacity: (request: StartRequest) => boolean = () => true;
  /** Initial state of a started instance. */
  stateAfterStart = InstanceState.Running;
  private readonly instances = new Map<string, Instance>();
  private readonly endpoints = new Map<string, Endpoint>();
  private readonly daemons = new Map<string, DaemonIdentity>();
  private readonly notices = new Map<string, ReclaimNotice>();
  private readonly instanceIdByClientToken = new Map<string, string>();
  private publishedListing: FleetListing;
  private nextInstanceNumber = 1;

  constructor(
    private readonly clock: Clock,
    private readonly listLagMs: number,
    private priceList: readonly Price[] = [],
  ) {
    this.publishedListing = this.snapshot();
  }

  addInstance(instance: Instance): void {
    this.instances.set(instance.id, instance);
  }

  addEndpoint(endpoint: Endpoint): void {
    this.endpoints.set(endpoint.address, endpoint);
  }

  removeEndpoint(address: string): void {
    this.endpoints.delete(address);
  }

  addDaemon(daemon: DaemonIdentity): void {
    this.daemons.set(daemon.id, daemon);
  }

  /** Number of daemons in the most recently published listing. */
  publishedDaemonCount(): number {
    return this.publishedListing.daemons?.length ?? 0;
  }

  removeDaemon(id: string): void {
    this.daemons.delete(id);
  }

  /** Removes an instance together with its endpoints and its reclaim notice. */
  removeInstance(instanceId: string): void {
    this.instances.delete(instanceId);
    this.notices.delete(instanceId);
    for (const endpoint of this.endpoints.values()) {
      if (endpoint.instanceId === instanceId) {
        this.removeEndpoint(endpoint.address);
      }
    }
  }

  /** Returns the current instances, without the lag of the listing. */
  currentInstances(): readonly Instance[] {
    return [...this.instances.values()];
  }

  /** Returns the current endpoints, without the lag of the listing. */
  currentEndpoints(): readonly Endpoint[] {
    return [...this.endpoints.values()];
  }

  setPrices(prices: readonly Price[]): void {
    this.priceList = prices;
  }

  /**
   * Publishes a notice that an instance will be reclaimed at `reclaimAtMs`, and
   * marks the instance and its endpoints as leaving.
   */
  announceReclaim(instanceId: string, reclaimAtMs: number): void {
    this.notices.set(instanceId, { instanceId, reclaimAtMs });
    this.setState(instanceId, InstanceState.Leaving);
    for (const endpoint of this.endpoints.values()) {
      if (endpoint.instanceId !== instanceId) continue;
      this.addEndpoint({ ...endpoint, stage: EndpointStage.Leaving });
    }
  }

  /**
   * Returns the published listing. A call that finds it older than `listLagMs`
   * still receives it and publishes a new snapshot for the calls after it. There
   * is no lag while the published listing has no endpoints.
   */
  list(): Promise<FleetListing> {
    const nowMs = this.clock.nowMs();
    const hasNoEndpoints = this.publishedListing.endpoints.length === 0;
    if (
      hasNoEndpoints ||
      nowMs - this.publishedListing.asOfMs >= this.listLagMs
    ) {
      const previousListing = this.publishedListing;
      this.publishedListing = this.snapshot();
      return Promise.resolve(
        hasNoEndpoints ? this.publishedListing : previousListing,
      );
    }
    return Promise.resolve(this.publishedListing);
  }

  prices(): Promise<readonly Price[]> {
    return Promise.resolve(this.priceList);
  }

  /**
   * Starts an instance. Idempotent by client token. Rejects with `NotSentError`
   * if the deadline has passed.
   */
  start(request: StartRequest): Promise<StartResult> {
    const startedInstanceId = this.instanceIdByClientToken.get(
      request.clientToken,
    );
    if (startedInstanceId !== undefined) {
      return Promise.resolve({
        outcome: StartOutcome.Started,
        instanceId: startedInstanceId,
      });
    }
    if (this.clock.nowMs() > request.deadlineAtMs) {
      const message =
        'The start request arrived after its deadline; send it again with a later deadline.';
      return Promise.reject(new NotSentError(message));
    }
    if (this.refusesStarts || !this.hasCapacity(request)) {
      return Promise.resolve({ outcome: StartOutcome.Refused });
    }
    const instanceId = `instance-${this.nextInstanceNumber}`;
    this.nextInstanceNumber += 1;
    this.instanceIdByClientToken.set(request.clientToken, instanceId);
    this.addInstance({
      id: instanceId,
      machineClass: request.machineClass,
      dataCentre: request.dataCentre,
      billing: request.billing,
      state: this.stateAfterStart,
    });
    return Promise.resolve({ outcome: StartOutcome.Started, instanceId });
  }

  stop(instanceId: string): Promise<void> {
    this.setState(instanceId, InstanceState.Terminated);
    return Promise.resolve();
  }

  reclaimNotices(): Promise<readonly ReclaimNotice[]> {
    return Promise.resolve([...this.notices.values()]);
  }

  private setState(instanceId: string, state: InstanceState): void {
    const instance = this.instances.get(instanceId);
    if (instance !== undefined) this.addInstance({ ...instance, state });
  }

  private snapshot(): FleetListing {
    return {
      asOfMs: this.clock.nowMs(),
      instances: [...this.instances.values()],
      endpoints: [...this.endpoints.values()],
      daemons: [...this.daemons.values()],
    };
  }
}
