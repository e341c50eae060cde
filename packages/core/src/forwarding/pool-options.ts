import type { DataCentre } from '../ports/index.js';
import type { EndpointLimiter } from './endpoint-limiter.js';
import type { LeavingEndpoints } from './leaving-endpoints.js';
import type { OverloadGuard } from './overload-guard.js';
import type { PausedEndpoints } from './paused-endpoints.js';
import type { PlacementPolicy } from './placement-policy.js';

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
  /** `LeastLatencyPlacement` if absent. */
  readonly placement?: PlacementPolicy;
}
