import type { EndpointRecord } from '../forwarding/index.js';
import { EndpointState } from '../forwarding/index.js';

/**
 * Endpoints that a group had when this daemon began to plan for it. They are kept
 * until the load has been observed for a while, since a group without load may be
 * about to get the load that it was provisioned for.
 */
export class ProvisionedCapacity {
  private count: number | undefined;
  private loadedSinceMs: number | undefined;

  constructor(private readonly observationMs: number) {}

  /** Returns the minimum number of endpoints to keep now. */
  minRequired(
    endpoints: readonly EndpointRecord[],
    isLoaded: boolean,
    nowMs: number,
  ): number {
    if (isLoaded) this.loadedSinceMs ??= nowMs;
    const ready = endpoints.filter(
      endpoint => endpoint.state === EndpointState.Ready,
    ).length;
    if (this.count === undefined && ready > 0) this.count = ready;
    const isObserved =
      this.loadedSinceMs !== undefined &&
      nowMs - this.loadedSinceMs >= this.observationMs;
    return isObserved ? 0 : (this.count ?? 0);
  }
}
