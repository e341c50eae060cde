import type { Evacuations } from '@skylarkreach/core/evacuations';
import { LogComponent } from '@skylarkreach/core/ports';

import { createMonitor } from './dependency-monitor.js';
import type { GatewayCluster } from './gateway-cluster.js';
import type { GatewayContext } from './gateway-context.js';
import { OperatorWatch } from './operator-watch.js';
import type { StateReplicator } from './state-replicator.js';

export interface OperatorWatchParts {
  readonly cluster: GatewayCluster;
  readonly evacuations: Evacuations;
  readonly replicator: StateReplicator;
}

/** Age of the operators' state from which a daemon that is no reader reads it, as a fraction of the shortest bound on its application. */
const FOLLOWED_SHARE = 0.7; // a read still fits within the bound

/** Creates the watch of the operators' state, which follows readers that confirm all parts of the state. */
export function createOperatorWatch(
  context: GatewayContext,
  { cluster, evacuations, replicator }: OperatorWatchParts,
): OperatorWatch {
  const { hintBoard, readerRole } = cluster;
  const { configurationMs, evacuationMs } = context.settings.bounds;
  return new OperatorWatch({
    ...context,
    isReader: () => readerRole.isReader(),
    lastPeerReadAtMs: () =>
      Math.min(
        hintBoard.operatorReadAtMs(replicator.operatorsVersion),
        hintBoard.evacuationReadAtMs(evacuations.revision),
      ),
    maxFollowedAgeMs: Math.min(configurationMs, evacuationMs) * FOLLOWED_SHARE,
    source: context.platform.operators,
    monitor: createMonitor(context, 'operators', LogComponent.Configuration),
    onState: state => {
      replicator.handleOperatorState(state);
    },
  });
}
