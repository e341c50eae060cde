import type { TokenRate } from './configuration.js';
import type { GrantWindow } from './grant-window.js';
import { HORIZON_MS } from './grant-window.js';
import { RecentTokens } from './recent-tokens.js';

/** Minimum retry delay given to a refused caller. */
const MIN_RETRY_WAIT_MS = 100;
/** Balance, as a share of the burst, that suffices for any larger request, which then overdraws the bucket. */
const MIN_BALANCE_SHARE = 0.15; // above most drafts; without it the largest ones would starve behind smaller ones
/** Requests of at least the burst divided by this get no overdraft. */
const OVERDRAFT_SIZE_DIVISOR = 50; // a look-up uses about a thousandth of the burst, a draft a fifth
/** Share of the burst that the smallest requests may overdraw, so that larger ones do not starve them. */
const MAX_OVERDRAFT_SHARE = 0.2; // below the excess over the limit that the platform tolerates

/** Time after which a request that was admitted counts as written late. */
export const MAX_WRITE_DELAY_MS = 100; // some turns of an event loop that keeps up
/** Time within which the platform sums what reaches endpoints. */
const WINDOW_MS = 8_000;

/** Token bucket of one workspace. */
export interface TokenBucket {
  rate: TokenRate;
  /** Grants of all daemons, as far as this daemon knows. */
  readonly window: GrantWindow;
  /** Tokens granted by this process since it started. */
  granted: number;
  /** What this process has granted of what the window holds. */
  readonly ownGranted: RecentTokens;
  /** What this process has written within the window of the platform. */
  readonly ownWritten: RecentTokens;
}

/** Creates a bucket in which nothing was granted yet. */
export function createTokenBucket(
  rate: TokenRate,
  window: GrantWindow,
): TokenBucket {
  const ownGranted = new RecentTokens(HORIZON_MS);
  const ownWritten = new RecentTokens(WINDOW_MS);
  return { rate, window, granted: 0, ownGranted, ownWritten };
}

/**
 * Returns the milliseconds after which a request may be written late; undefined if it
 * may be now. Peers charge a grant for the time at which they hear of it, and cannot
 * see when it is written. This daemon therefore takes them to be as late as
 * itself: what it writes, times their grants for each of its own, is kept within the limit.
 */
export function lateWaitMs(
  { ownGranted, ownWritten, rate, window }: TokenBucket,
  tokens: number,
  nowMs: number,
): number | undefined {
  const ownTokens = ownGranted.sum(nowMs);
  if (ownTokens === 0) return undefined;
  const perOwn = Math.max(1, window.grantedTokens(nowMs) / ownTokens);
  const expected = (ownWritten.sum(nowMs) + tokens) * perOwn;
  const excess =
    expected - rate.burstTokens - (rate.tokensPerSecond * WINDOW_MS) / 1_000;
  if (excess <= 0) return undefined;
  return Math.max(MIN_RETRY_WAIT_MS, (excess * 1_000) / rate.tokensPerSecond);
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
