import type { Address, Endpoint } from '../platform/index.js';
import { EndpointStage } from '../platform/index.js';

const STAGE_ORDER = [
  EndpointStage.Warming,
  EndpointStage.Ready,
  EndpointStage.Leaving,
  EndpointStage.Gone,
];

/**
 * Endpoints known to this daemon. A stage never goes back, so that a lagging
 * list cannot return an endpoint that is leaving.
 */
export class EndpointTable {
  private readonly byAddress = new Map<Address, Endpoint>();

  applyListing(endpoints: readonly Endpoint[]): void {
    const listed = new Set(endpoints.map(endpoint => endpoint.address));
    for (const endpoint of endpoints) this.merge(endpoint);
    for (const address of this.byAddress.keys()) {
      if (!listed.has(address)) this.byAddress.delete(address);
    }
  }

  markLeaving(address: Address): void {
    const endpoint = this.byAddress.get(address);
    if (endpoint === undefined) return;
    this.merge({ ...endpoint, stage: EndpointStage.Leaving });
  }

  all(): readonly Endpoint[] {
    return [...this.byAddress.values()];
  }

  /** Endpoints that take new work for the group and version. */
  ready(group: string, version?: string): readonly Endpoint[] {
    return this.all().filter(
      endpoint =>
        endpoint.stage === EndpointStage.Ready &&
        endpoint.group === group &&
        (version === undefined || endpoint.version === version),
    );
  }

  private merge(endpoint: Endpoint): void {
    const known = this.byAddress.get(endpoint.address);
    const isSameInstance = known?.instanceId === endpoint.instanceId;
    const stage =
      known !== undefined && isSameInstance
        ? laterStage(known.stage, endpoint.stage)
        : endpoint.stage;
    this.byAddress.set(endpoint.address, { ...endpoint, stage });
  }
}

function laterStage(left: EndpointStage, right: EndpointStage): EndpointStage {
  return STAGE_ORDER.indexOf(left) >= STAGE_ORDER.indexOf(right) ? left : right;
}
