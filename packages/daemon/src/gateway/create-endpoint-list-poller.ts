import { LogComponent } from '@skylarkreach/core/ports';

import { createMonitor } from './dependency-monitor.js';
import type { GatewayCluster } from './gateway-cluster.js';
import type { GatewayContext } from './gateway-context.js';
import { StatePoller } from './state-poller.js';
import type { StateReplicator } from './state-replicator.js';

/** Interval between reads of the endpoint list, as a fraction of the drain bound. */
const LISTING_INTERVAL_SHARE = 0.4; // a second read fits within the bound if one fails
/** Age of the endpoint list from which a daemon that is no reader reads it, as a fraction of the drain bound. */
const LISTING_FOLLOWED_SHARE = 0.6; // with the jitter, a read still fits within the bound
/** Time after which a read counts as hanging, likewise. */
const LISTING_PATIENCE_SHARE = 0.15;
/** Time after which a read is abandoned. */
const READ_TIMEOUT_MS = 4_000; // a list of two pages on a link that other traffic holds up for seconds

export interface EndpointListPollerParts {
  readonly cluster: GatewayCluster;
  readonly replicator: StateReplicator;
}

/** Creates the reader of the endpoint list, which follows the reads of peers. */
export function createEndpointListPoller(
  context: GatewayContext,
  { cluster, replicator }: EndpointListPollerParts,
): StatePoller {
  const { clock, platform, settings } = context;
  const { drainMs } = settings.bounds;
  return new StatePoller({
    ...context,
    ...{ name: 'endpoints', part: LogComponent.Routing },
    monitor: createMonitor(context, 'endpoints', LogComponent.Routing),
    timing: {
      intervalMs: drainMs * LISTING_INTERVAL_SHARE,
      maxFollowedAgeMs: drainMs * LISTING_FOLLOWED_SHARE,
      patienceMs: drainMs * LISTING_PATIENCE_SHARE,
      readTimeoutMs: READ_TIMEOUT_MS,
    },
    read: async (deadlineAtMs, freshConnection) => {
      const readAtMs = clock.nowMs();
      const { endpoints } = platform;
      const listing = await endpoints.readNow(deadlineAtMs, freshConnection);
      if (listing.malformed > 0) reportMalformed(context, listing.malformed);
      replicator.handleListing(listing, readAtMs);
    },
    isReader: () => cluster.readerRole.isFirstReader(),
    lastOtherReadAtMs: () =>
      cluster.hintBoard.endpointReadAtMs(replicator.endpointsVersion),
  });
}

function reportMalformed(
  { log, metrics }: GatewayContext,
  entries: number,
): void {
  metrics.increment('endpoints.malformed', entries);
  log.warn(LogComponent.Routing, 'Malformed endpoint entries were skipped.', {
    entries,
  });
}
