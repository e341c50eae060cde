import type {
  Clock,
  Cloud,
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

/** Cloud held in memory. Its list lags, its notices do not. */
export class MemoryCloud implements Cloud {
  /** Set to refuse every start. */
  refusesStarts = false;
  /** Decides whether there is capacity for a start. */
  hasCapacity: (request: StartRequest) => boolean = () => true;
  /** State of an instance right after its start. */
  stateAfterStart = InstanceState.Running;
  private readonly instances = new Map<string, Instance>();
  private readonly endpoints = new Map<string, Endpoint>();
  private readonly daemons = new Map<string, DaemonIdentity>();
  private readonly notices = new Map<string, ReclaimNotice>();
  private readonly startedByToken = new Map<string, string>();
  private published: FleetListing;
  private nextInstance = 1;

  constructor(
    private readonly clock: Clock,
    private readonly listLagMs: number,
    private priceList: readonly Price[] = [],
  ) {
    this.published = this.snapshot();
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

  /** Daemons on the list as it was last published. */
  listedDaemons(): number {
    return this.published.daemons?.length ?? 0;
  }

  removeDaemon(id: string): void {
    this.daemons.delete(id);
  }

  /** Takes an instance away, with its endpoints and its notice. */
  removeInstance(instanceId: string): void {
    this.instances.delete(instanceId);
    this.notices.delete(instanceId);
    for (const endpoint of this.endpoints.values()) {
      if (endpoint.instanceId === instanceId) {
        this.removeEndpoint(endpoint.address);
      }
    }
  }

  /** Instances as they are now, without the list's lag. */
  currentInstances(): readonly Instance[] {
    return [...this.instances.values()];
  }

  /** Endpoints as they are now, without the list's lag. */
  currentEndpoints(): readonly Endpoint[] {
    return [...this.endpoints.values()];
  }

  setPrices(prices: readonly Price[]): void {
    this.priceList = prices;
  }

  /** Announces that an instance is taken at `reclaimAtMs`. */
  announceReclaim(instanceId: string, reclaimAtMs: number): void {
    this.notices.set(instanceId, { instanceId, reclaimAtMs });
    this.setState(instanceId, InstanceState.Leaving);
    for (const endpoint of this.endpoints.values()) {
      if (endpoint.instanceId !== instanceId) continue;
      this.addEndpoint({ ...endpoint, stage: EndpointStage.Leaving });
    }
  }

  list(): Promise<FleetListing> {
    const nowMs = this.clock.nowMs();
    const isFirst = this.published.endpoints.length === 0;
    if (isFirst || nowMs - this.published.asOfMs >= this.listLagMs) {
      const due = this.published;
      this.published = this.snapshot();
      return Promise.resolve(isFirst ? this.published : due);
    }
    return Promise.resolve(this.published);
  }

  prices(): Promise<readonly Price[]> {
    return Promise.resolve(this.priceList);
  }

  start(request: StartRequest): Promise<StartResult> {
    const known = this.startedByToken.get(request.clientToken);
    if (known !== undefined) {
      return Promise.resolve({
        outcome: StartOutcome.Started,
        instanceId: known,
      });
    }
    if (this.clock.nowMs() > request.deadlineAtMs) {
      const message = 'The start came after its deadline; send it again.';
      return Promise.reject(new NotSentError(message));
    }
    if (this.refusesStarts || !this.hasCapacity(request)) {
      return Promise.resolve({ outcome: StartOutcome.Refused });
    }
    const instanceId = `instance-${this.nextInstance}`;
    this.nextInstance += 1;
    this.startedByToken.set(request.clientToken, instanceId);
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
    this.setState(instanceId, InstanceState.Gone);
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
