import type { Evacuations } from '@skylarkreach/core/evacuations';
import { LogComponent } from '@skylarkreach/core/ports';
import type { RolloutRegistry } from '@skylarkreach/core/rollouts';

import { createMonitor } from './dependency-monitor.js';
import type { GatewayCluster } from './gateway-cluster.js';
import type { GatewayContext } from './gateway-context.js';
import { OperatorStateReader } from './operator-state-reader.js';
import { OperatorWatch } from './operator-watch.js';
import { StatePoller } from './state-poller.js';
import type { StateReplicator } from './state-replicator.js';

export interface OperatorReadsParts {
  readonly cluster: GatewayCluster;
  readonly evacuations: Evacuations;
  readonly rollouts: RolloutRegistry;
  readonly replicator: StateReplicator;
}

export interface OperatorReads {
  readonly operatorWatch: OperatorWatch;
  readonly operatorPoller: StatePoller;
}

/** Time between reads of the operators' state, as a fraction of the shortest bound on its application. */
const INTERVAL_SHARE = 0.25;
/** Age of the state from which a daemon that is no reader reads it, likewise. */
const FOLLOWED_SHARE = 0.6; // with the jitter and a read that hangs, another read still fits within the bound
/** Time after which a read counts as hanging, likewise. */
const PATIENCE_SHARE = 0.1;
/** Time after which a read is abandoned. */
const READ_TIMEOUT_MS = 2_500; // a large configuration on a slow link

/** Creates the watch of the operators' state, and the reads that confirm all parts of it. */
export function createOperatorReads(
  context: GatewayContext,
  { cluster, evacuations, replicator, rollouts }: OperatorReadsParts,
): OperatorReads {
  const { hintBoard, readerRole } = cluster;
  const { configurationMs, evacuationMs } = context.settings.bounds;
  const boundMs = Math.min(configurationMs, evacuationMs);
  const part = LogComponent.Configuration;
  const reader = new OperatorStateReader({
    ...context,
    source: context.platform.operators,
    onState: state => {
      replicator.handleOperatorState(state);
    },
  });
  const peerReadAtMs = () =>
    Math.min(
      hintBoard.operatorReadAtMs(replicator.operatorsVersion),
      hintBoard.evacuationReadAtMs(evacuations.revision),
      hintBoard.orderReadAtMs(rollouts.newestRevision),
    );
  const operatorPoller = new StatePoller({
    ...context,
    ...{ name: 'operators', part },
    monitor: createMonitor(context, 'operators', part),
    timing: {
      intervalMs: boundMs * INTERVAL_SHARE,
      maxFollowedAgeMs: boundMs * FOLLOWED_SHARE,
      patienceMs: boundMs * PATIENCE_SHARE,
      readTimeoutMs: READ_TIMEOUT_MS,
    },
    read: (deadlineAtMs, freshConnection) =>
      reader.read(deadlineAtMs, freshConnection),
    isReader: () => readerRole.isFirstReader(),
    lastOtherReadAtMs: () => reader.confirmedAtMs(peerReadAtMs()),
  });
  const operatorWatch = new OperatorWatch({
    ...context,
    reader,
    isReader: () => readerRole.isReader(),
    monitor: createMonitor(context, 'operatorWatches', part),
  });
  return { operatorWatch, operatorPoller };
}
