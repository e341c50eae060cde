import type { DutyCalls } from '@skylarkreach/core/duties';
import type {
  EndpointSource,
  ForwardProtocol,
  OperatorSource,
} from '@skylarkreach/core/forwarding';
import type { Clock, KeyValue, Log, Random } from '@skylarkreach/core/ports';
import type { RolloutStatus } from '@skylarkreach/core/rollouts';

import type { HttpClient } from '../adapters/index.js';
import type { GatewaySettings } from '../settings/index.js';
import type { PromMetrics } from '../telemetry/index.js';

/** What the platform offers, in the system's own terms. */
export interface PlatformPorts {
  readonly protocol: ForwardProtocol;
  readonly keyValue: KeyValue;
  readonly operators: OperatorSource;
  readonly endpoints: EndpointSource;
  readonly duties: DutyCalls;
  readonly rolloutStatus: RolloutStatus;
}

/** What every part of a gateway shares. */
export interface GatewayBase {
  readonly settings: GatewaySettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: PromMetrics;
  readonly http: HttpClient;
  readonly platform: PlatformPorts;
}
