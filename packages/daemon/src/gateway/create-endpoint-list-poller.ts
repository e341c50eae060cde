import { LogComponent } from '@skylarkreach/core/ports';

import { createMonitor } from './dependency-monitor.js';
import { EndpointListPoller } from './endpoint-list-poller.js';
import type { GatewayCluster } from './gateway-cluster.js';
import type { GatewayContext } from './gateway-context.js';
import type { StateReplicator } from './state-replicator.js';

/** Interval between reads of the endpoint list, as a fraction of the drain bound. */
const LISTING_INTERVAL_SHARE = 0.4; // a second read fits within the bound if one fails
/** Age of the endpoint list from which a daemon that is no reader reads it, as a fraction of the drain bound. */
const LISTING_FOLLOWED_SHARE = 0.6; // with the jitter, a read still fits within the bound

export interface EndpointListPollerParts {
  readonly cluster: GatewayCluster;
  readonly replicator: StateReplicator;
}

/** Creates the reader of the endpoint list, which follows the reads of peers. */
export function createEndpointListPoller(
  context: GatewayContext,
  { cluster, replicator }: EndpointListPollerParts,
): EndpointListPoller {
  const { drainMs } = context.settings.bounds;
  return new EndpointListPoller({
    ...context,
    source: context.platform.endpoints,
    monitor: createMonitor(context, 'endpoints', LogComponent.Routing),
    intervalMs: drainMs * LISTING_INTERVAL_SHARE,
    maxFollowedAgeMs: drainMs * LISTING_FOLLOWED_SHARE,
    isReader: () => cluster.readerRole.isFirstReader(),
    lastPeerReadAtMs: () =>
      cluster.hintBoard.endpointReadAtMs(replicator.endpointsVersion),
    onListing: (listing, readAtMs) => {
      replicator.handleListing(listing, readAtMs);
    },
  });
}
