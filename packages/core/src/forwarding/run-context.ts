import type { RetryAllowance } from '../routing/index.js';
import type { ForwardRequest } from './forward-request.js';
import type { RequestHomes } from './home-regions.js';
import type { RelayedPart } from './request-relay.js';
import type { ResolvedRequest } from './resolve-request.js';

/** One request and what its run needs to know of it. */
export interface RunContext {
  readonly request: ForwardRequest;
  readonly resolved: ResolvedRequest;
  /** Ids of what may be at fault if an endpoint crashes. */
  readonly suspectIds: readonly string[];
  readonly group: string;
  readonly budget: RetryAllowance;
  /** Where the request may go; undefined if it has no home regions. */
  readonly homes: RequestHomes | undefined;
  /** Deducts the request's tokens once it has waited for capacity. Throws `ForwardError` if the rate limit is exceeded by then. Absent if a peer passed the request on, which has deducted them. */
  readonly takeTokens?: () => void;
  /** Given if a peer passed the request on to this daemon for one attempt. */
  readonly relayed?: RelayedPart;
}
