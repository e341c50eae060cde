import type { RetryAllowance } from '../routing/index.js';
import type { ForwardRequest } from './forward-request.js';
import type { RequestHomes } from './home-regions.js';
import type { RelayedPart } from './request-relay.js';
import type { ResolvedRequest } from './resolve-request.js';

/** Tokens that a request uses of its workspace's rate limit. */
export interface TokenCharge {
  /** Throws `ForwardError` if the tokens are not available now. */
  check(): void;
  /** Deducts the tokens. Throws `ForwardError` if they are not available. */
  take(): void;
}

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
  /** Deducted once the request has waited for capacity. Absent if a peer passed the request on, which has deducted them. */
  readonly tokenCharge?: TokenCharge;
  /** Given if a peer passed the request on to this daemon for one attempt. */
  readonly relayed?: RelayedPart;
}
