import type { Evacuations } from '@skylarkreach/core/evacuations';
import type { EndpointPool } from '@skylarkreach/core/forwarding';
import { LogComponent } from '@skylarkreach/core/ports';
import type { EndpointReachabilityDependencies } from '@skylarkreach/core/reachability';
import { EndpointReachability } from '@skylarkreach/core/reachability';

import type { Loop } from '../loops/index.js';
import { createIntervalLoop } from '../loops/index.js';
import type { GatewayContext } from './gateway-context.js';

/** Interval between checks of whether endpoints are to be probed. */
const INTERVAL_MS = 200;

export interface ReachabilityParts extends Pick<
  EndpointReachabilityDependencies,
  'probe'
> {
  readonly pool: EndpointPool;
  readonly evacuations: Evacuations;
}

/** Creates what knows which endpoints this daemon reaches, and the loop that probes them. */
export function createReachability(
  context: GatewayContext,
  { evacuations, pool, probe }: ReachabilityParts,
): {
  readonly reachability: EndpointReachability;
  readonly reachabilityLoop: Loop;
} {
  const reachability = new EndpointReachability({
    ...context,
    nowMs: () => context.clock.nowMs(),
    probe,
    // Endpoints that get no requests may be down.
    endpoints: () =>
      pool
        .endpoints()
        .filter(each => !evacuations.isEvacuated(each.dataCentre)),
  });
  const reachabilityLoop = createIntervalLoop(
    context,
    LogComponent.Routing,
    'reachability',
    INTERVAL_MS,
    () => reachability.step(),
  );
  return { reachability, reachabilityLoop };
}
