import type { RetryAllowance } from '../routing/index.js';
import type { ForwardError } from './forward-error.js';
import type { ForwardRequest } from './forward-request.js';
import type { RequestHomes } from './home-regions.js';
import type { RelayedPart } from './request-relay.js';
import type { ResolvedRequest } from './resolve-request.js';

/** Decides whether the tokens of a request still allow it to be written. */
export interface TokenGuard {
  /** Error to refuse the request with; undefined unless `mayWrite` has returned false. */
  readonly refusal: ForwardError | undefined;
  /** Whether the request may be written now; asked right before it is. */
  mayWrite(): boolean;
  /** Records that the request is written now, which is the time that counts against the rate limit. */
  recordWrite(): void;
  /** Returns the tokens of a request that was not written, and never will be from now on. */
  close(): void;
}

/** Tokens that a request uses of its workspace's rate limit. */
export interface TokenCharge extends TokenGuard {
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
  readonly tokenGuard: TokenGuard;
  /** Deducted once the request has waited for capacity. Absent if a peer passed the request on, which has deducted them. */
  readonly tokenCharge?: TokenCharge;
  /** Given if a peer passed the request on to this daemon for one attempt. */
  readonly relayed?: RelayedPart;
}
