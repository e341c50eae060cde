import type { EndpointRecord } from '../forwarding/index.js';
import { EndpointState } from '../forwarding/index.js';

/** Endpoints that a group keeps whatever its load. */
export interface KeptEndpoints {
  readonly count: number;
  /** Of these, the on-demand ones. */
  readonly onDemandCount: number;
}

const NONE_KEPT: KeptEndpoints = { count: 0, onDemandCount: 0 };

/**
 * Endpoints that a group had when this daemon began to plan for it. They are kept
 * until the load has been observed for a while, since a group without load may be
 * about to get the load that it was provisioned for.
 */
export class ProvisionedCapacity {
  private found: KeptEndpoints | undefined;
  private loadedSinceMs: number | undefined;

  constructor(private readonly observationMs: number) {}

  /** Returns the endpoints to keep now. */
  kept(
    endpoints: readonly EndpointRecord[],
    isLoaded: boolean,
    nowMs: number,
  ): KeptEndpoints {
    if (isLoaded) this.loadedSinceMs ??= nowMs;
    const ready = endpoints.filter(
      endpoint => endpoint.state === EndpointState.Ready,
    );
    if (ready.length > 0) {
      this.found ??= {
        count: ready.length,
        onDemandCount: ready.filter(each => !each.isReclaimable).length,
      };
    }
    const isObserved =
      this.loadedSinceMs !== undefined &&
      nowMs - this.loadedSinceMs >= this.observationMs;
    return isObserved ? NONE_KEPT : (this.found ?? NONE_KEPT);
  }
}
