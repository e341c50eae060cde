import type { LoopDelayShedder } from '@skylarkreach/core/dispatch-queue';
import { QueueGate } from '@skylarkreach/core/dispatch-queue';
import type {
  ConfigurationStore,
  EndpointPool,
  ForwarderDependencies,
} from '@skylarkreach/core/forwarding';
import type { KnownDaemons } from '@skylarkreach/core/membership';
import { LogComponent } from '@skylarkreach/core/ports';
import type { EndpointReachability } from '@skylarkreach/core/reachability';

import { nextPoll } from '../http/index.js';
import type { Loop } from '../loops/index.js';
import { createPollerLoop } from '../loops/index.js';
import { countDaemons } from './count-daemons.js';
import type { GatewayCluster } from './gateway-cluster.js';
import type { GatewayContext } from './gateway-context.js';
import { LoopDelayMeter } from './loop-delay-meter.js';

/** Parts of a gateway that are created after its queues. */
export interface GatewayQueueSources {
  readonly pool: EndpointPool;
  readonly cluster: GatewayCluster;
  readonly knownDaemons: KnownDaemons;
  readonly reachability: Pick<EndpointReachability, 'isUnreachable'>;
}

/** Queues of a gateway with what measures its own load; without both where the settings do not enable them. */
export class GatewayQueue {
  readonly gate: QueueGate | undefined;
  readonly loops: readonly Loop[];
  private readonly shedder: LoopDelayShedder | undefined;
  /** Part of the forwarder's dependencies. */
  readonly forwarding: Pick<
    ForwarderDependencies,
    'dispatchGate' | 'shedder' | 'sendsPriority'
  >;

  constructor(
    context: GatewayContext,
    configuration: ConfigurationStore,
    sources: () => GatewayQueueSources,
  ) {
    const { queue } = context.settings;
    const sendsPriority = () => queue.sendsPriority;
    if (!queue.isEnabled) {
      this.loops = [];
      this.forwarding = { sendsPriority };
      return;
    }
    this.gate = new QueueGate({
      ...context,
      nextPoll,
      limits: () => queue,
      daemonCount: () => countDaemons(sources()),
      room: (group, nowMs) => sources().pool.room(group, nowMs),
      isCutOff: group => sources().reachability.isUnreachable(group),
      configurationVersion: () => configuration.version,
    });
    const meter = new LoopDelayMeter(context);
    this.loops = [
      createPollerLoop(context, LogComponent.Daemon, 'loopDelay', meter),
    ];
    const { shedder } = meter;
    this.shedder = shedder;
    this.forwarding = { dispatchGate: this.gate, shedder, sendsPriority };
  }

  /** Returns the state of the queues and what this daemon sheds, for the operators. */
  dumpState(nowMs: number): unknown {
    return {
      isEnabled: this.gate !== undefined,
      loopDelayMs: this.shedder?.standingDelayMs,
      shedsFromPriority: this.shedder?.shedsFrom,
      groups: this.gate?.dumpState(nowMs),
    };
  }
}
