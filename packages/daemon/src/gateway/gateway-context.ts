import type { DutyApi } from '@skylarkreach/core/duties';
import type {
  EndpointSource,
  ForwardProtocol,
  OperatorSource,
  RequestMemory,
} from '@skylarkreach/core/forwarding';
import type {
  Clock,
  KeyValueStore,
  Log,
  Random,
} from '@skylarkreach/core/ports';
import type { RolloutStatusSink } from '@skylarkreach/core/rollouts';

import type { HttpClient } from '../adapters/index.js';
import type { GatewaySettings, MachineShares } from '../settings/index.js';
import type { PromMetrics } from '../telemetry/index.js';

/** Platform services, reached through ports that don't depend on the platform's formats. */
export interface PlatformPorts {
  readonly protocol: ForwardProtocol;
  readonly keyValue: KeyValueStore;
  readonly operators: OperatorSource;
  readonly endpoints: EndpointSource;
  readonly duties: DutyApi;
  readonly rolloutStatus: RolloutStatusSink;
}

/** Settings and services that all components of a gateway share. */
export interface GatewayContext {
  readonly settings: GatewaySettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: PromMetrics;
  /** What each use of the machine may take of it. */
  readonly machine: MachineShares;
  /** Memory of callers' requests. */
  readonly requestMemory: RequestMemory;
  /** Memory of peers' messages, which callers cannot take. */
  readonly peerMemory: RequestMemory;
  readonly http: HttpClient;
  readonly platform: PlatformPorts;
}
