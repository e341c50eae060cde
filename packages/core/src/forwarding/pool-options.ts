import type { DataCentre } from '../ports/index.js';
import type { ColdStartGuard } from './cold-start-guard.js';
import type { LoadObserver } from './dispatch-gate.js';
import type { EndpointLimiter } from './endpoint-limiter.js';
import type { LeavingEndpoints } from './leaving-endpoints.js';
import type { OverloadGuard } from './overload-guard.js';
import type { PausedEndpoints } from './paused-endpoints.js';
import type { PlacementPolicy } from './placement-policy.js';
import type { PromptTransferPolicy } from './prompt-transfer.js';

export interface EndpointPoolOptions {
  readonly dataCentre: DataCentre;
  /** Prompt tokens that an engine prefills per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Returns the KV cache capacity in tokens of each engine of a group; undefined if the group has no engines or is not known. */
  readonly engineMemoryTokens: (group: string) => number | undefined;
  /** Returns the milliseconds since the Unix epoch on which most daemons agree. */
  readonly timeMs: () => number;
  readonly limiter: EndpointLimiter;
  readonly overloadGuard: OverloadGuard;
  readonly leaving: LeavingEndpoints;
  readonly paused: PausedEndpoints;
  /** Absent where no endpoint is ever cold. */
  readonly coldStarts?: ColdStartGuard;
  /** Whether the endpoints of a data centre get no requests by order of the operators; none are withheld if absent. */
  readonly isEvacuated?: (dataCentre: DataCentre) => boolean;
  /** Told of the load of endpoints, if given. */
  readonly loadObserver?: LoadObserver | undefined;
  /** `LeastLatencyPlacement` if absent. */
  readonly placement?: PlacementPolicy;
  /** Absent if no endpoint is told to fetch a prompt from another one. */
  readonly promptTransfers?: PromptTransferPolicy;
}
