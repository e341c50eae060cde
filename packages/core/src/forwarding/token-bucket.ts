import type { TokenRate } from './configuration.js';
import type { GrantWindow } from './grant-window.js';

/** Minimum retry delay given to a refused caller. */
const MIN_RETRY_WAIT_MS = 100;
/** Balance, as a share of the burst, that suffices for any larger request, which then overdraws the bucket. */
const MIN_BALANCE_SHARE = 0.15; // above most drafts; without it the largest ones would starve behind smaller ones
/** Requests of at least the burst divided by this get no overdraft. */
const OVERDRAFT_SIZE_DIVISOR = 50; // a look-up uses about a thousandth of the burst, a draft a fifth
/** Share of the burst that the smallest requests may overdraw, so that larger ones do not starve them. */
const MAX_OVERDRAFT_SHARE = 0.2; // below the excess over the limit that the platform tolerates

/** Token bucket of one workspace. */
export interface TokenBucket {
  rate: TokenRate;
  /** Grants of all daemons, as far as this daemon knows. */
  readonly window: GrantWindow;
  /** Tokens of the requests that this process has written since it started. */
  written: number;
}

/**
 * Returns the milliseconds after which a bucket with `balance` tokens allows a request;
 * undefined if it does. A large request may overdraw the bucket, so that small
 * ones do not starve it, and small ones have an overdraft of their own.
 */
export function waitMsAt(
  balance: number,
  tokens: number,
  rate: TokenRate,
): number | undefined {
  const neededTokens =
    Math.min(tokens, rate.burstTokens * MIN_BALANCE_SHARE) -
    overdraftFor(tokens, rate);
  if (balance >= neededTokens) return undefined;
  const missingTokens = neededTokens - balance;
  return Math.max(
    MIN_RETRY_WAIT_MS,
    (missingTokens * 1_000) / rate.tokensPerSecond,
  );
}

/** Returns the tokens that a request may overdraw; smaller requests may overdraw more. */
function overdraftFor(tokens: number, { burstTokens }: TokenRate): number {
  const relativeSize = Math.min(
    1,
    (tokens * OVERDRAFT_SIZE_DIVISOR) / burstTokens,
  );
  return burstTokens * MAX_OVERDRAFT_SHARE * (1 - relativeSize);
}
