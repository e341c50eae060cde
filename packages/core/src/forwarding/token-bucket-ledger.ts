import type { Workspace } from '../ports/index.js';
import type { TokenRate } from './configuration.js';
import type { BucketLimit } from './grant-window.js';
import { GrantWindow, HORIZON_MS } from './grant-window.js';
import type {
  GrantedTokens,
  GrantNews,
  LifetimeGrants,
} from './peer-totals.js';
import { PeerTotals } from './peer-totals.js';

interface TokenBucket {
  rate: TokenRate;
  /** Grants of all daemons, as far as this daemon knows. */
  readonly window: GrantWindow;
  /** Tokens granted by this process since it started. */
  granted: number;
}

/** Excess over a workspace's rate limit that the daemons together may grant, since updates about peers' grants arrive late. */
export interface TokenRateTolerance {
  /** Share of the rate. */
  readonly rateShare: number;
  readonly tokens: number;
}

export interface TokenBucketOptions {
  readonly tolerance?: TokenRateTolerance;
  /** Start of this daemon's process. */
  readonly startedAtMs?: number;
  /** Whether no daemon ran before this one. */
  readonly isFirstStart?: boolean;
  /** Returns the rate limit of a workspace; undefined if it has none or is not known. */
  readonly rateOf?: (workspace: Workspace) => TokenRate | undefined;
}

/** Time before their arrival to which news of grants are spread: older ones would count against tokens that have lapsed since. */
const MAX_SPREAD_MS = 1_000;
/** Time that two daemons seldom need to meet. News of a longer one are spread over all of it, as most of their tokens have been refilled. */
const LONG_GAP_MS = 15_000;
const NO_TOLERANCE: TokenRateTolerance = { rateShare: 0, tokens: 0 };
/** Share of the burst below which daemons pass on what they know of a workspace. */
const SHORT_BALANCE_SHARE = 0.8;
/** Share of the tolerance that is added to the limit, so that callers within their limit are not refused; the rest covers peers' grants that are not yet known. */
const USED_TOLERANCE_SHARE = 0.35;

/** Minimum retry delay given to a refused caller. */
const MIN_RETRY_WAIT_MS = 100;
/** Balance, as a share of the burst, that suffices for any larger request, which then overdraws the bucket. */
const MIN_BALANCE_SHARE = 0.15; // above most drafts; without it the largest ones would starve behind smaller ones
/** Requests of at least the burst divided by this get no overdraft. */
const OVERDRAFT_SIZE_DIVISOR = 50; // a look-up uses about a thousandth of the burst, a draft a fifth
/** Share of the burst that the smallest requests may overdraw, so that larger ones do not starve them. */
const MAX_OVERDRAFT_SHARE = 0.2; // below the excess over the limit that the platform tolerates

/**
 * Token buckets that limit the rate of each workspace over all daemons. A daemon
 * deducts its own grants at once and those of its peers as their updates arrive.
 */
export class TokenBucketLedger {
  private readonly bucketsByWorkspace = new Map<Workspace, TokenBucket>();

  private readonly peers: PeerTotals;
  private readonly tolerance: TokenRateTolerance;
  private readonly startedAtMs: number;

  constructor(private readonly options: TokenBucketOptions = {}) {
    this.tolerance = options.tolerance ?? NO_TOLERANCE;
    this.startedAtMs = options.startedAtMs ?? 0;
    this.peers = new PeerTotals(this.startedAtMs);
  }

  /**
   * Acquires tokens. Returns undefined on success, or else the milliseconds
   * after which to retry. A large request may overdraw the bucket, so that small
   * ones do not starve it, and small ones have an overdraft of their own.
   */
  tryAcquire(
    workspace: Workspace,
    rate: TokenRate,
    tokens: number,
    nowMs: number,
  ): number | undefined {
    const waitMs = this.waitMs(workspace, rate, tokens, nowMs);
    if (waitMs !== undefined) return waitMs;
    const bucket = this.bucketOf(workspace, rate, nowMs);
    bucket.window.add(tokens, nowMs, nowMs);
    bucket.granted += tokens;
    return undefined;
  }

  /** Returns the milliseconds after which tokens may be acquired; undefined if they may be now. */
  waitMs(
    workspace: Workspace,
    rate: TokenRate,
    tokens: number,
    nowMs: number,
  ): number | undefined {
    const bucket = this.bucketOf(workspace, rate, nowMs);
    const balance = bucket.window.balance(nowMs);
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

  /** Total grants of this daemon, to be sent to its peers. */
  grantedTotals(): GrantedTokens {
    return Object.fromEntries(
      [...this.bucketsByWorkspace]
        .filter(([, { granted }]) => granted > 0)
        .map(([workspace, { granted }]) => [workspace, granted]),
    );
  }

  /**
   * Returns what became known of late of peers' grants to the workspaces whose balance is low.
   * Passed on, it reaches all daemons in a few rounds, whereas two given daemons
   * of many seldom meet.
   */
  grantsToPassOn(nowMs: number): readonly LifetimeGrants[] {
    const workspaces = this.shortWorkspaces(nowMs);
    if (workspaces.length === 0) return [];
    return this.peers.changedTotals(workspaces, nowMs - HORIZON_MS, nowMs);
  }

  /** Deducts what a peer tells of its own grants, given as totals since its start. */
  applyPeerGrants(grants: LifetimeGrants, nowMs: number): void {
    this.deduct(this.peers.applyOwn(grants, nowMs), nowMs);
  }

  /** Deducts what others tell of a peer's grants to some workspaces. */
  applyPassedOnGrants(grants: LifetimeGrants, nowMs: number): void {
    this.deduct(this.peers.applyPassedOn(grants, nowMs), nowMs);
  }

  /** Drops the state of peers of which nothing was heard for long. */
  forgetSilentPeers(nowMs: number): void {
    this.peers.forgetSilent(nowMs);
  }

  /** Returns the tokens left, granted and the rate of each workspace, for the operators. */
  dumpState(nowMs: number): unknown {
    return Object.fromEntries(
      [...this.bucketsByWorkspace].map(([workspace, bucket]) => [
        workspace,
        {
          left: Math.round(bucket.window.balance(nowMs)),
          granted: bucket.granted,
          ...bucket.rate,
        },
      ]),
    );
  }

  private shortWorkspaces(nowMs: number): readonly Workspace[] {
    return [...this.bucketsByWorkspace]
      .filter(
        ([, bucket]) =>
          bucket.window.balance(nowMs) <
          bucket.rate.burstTokens * SHORT_BALANCE_SHARE,
      )
      .map(([workspace]) => workspace);
  }

  private deduct(news: readonly GrantNews[], nowMs: number): void {
    for (const { sinceMs, tokens, workspace } of news) {
      const known = this.bucketsByWorkspace.get(workspace);
      const rate = this.options.rateOf?.(workspace) ?? known?.rate;
      if (rate === undefined) continue;
      const isLong = nowMs - sinceMs > LONG_GAP_MS;
      const fromMs = isLong
        ? sinceMs
        : Math.max(sinceMs, nowMs - MAX_SPREAD_MS);
      this.bucketOf(workspace, rate, nowMs).window.add(tokens, fromMs, nowMs);
    }
  }

  private createBucket(rate: TokenRate, nowMs: number): TokenBucket {
    const window = new GrantWindow(this.limitOf(rate), nowMs);
    const { startedAtMs } = this;
    // Daemons that ran before may have granted the burst.
    if (this.options.isFirstStart === false)
      window.add(rate.burstTokens, startedAtMs, startedAtMs);
    return { rate, window, granted: 0 };
  }

  private limitOf({ burstTokens, tokensPerSecond }: TokenRate): BucketLimit {
    const { rateShare, tokens } = this.tolerance;
    const refillPerSecond =
      tokensPerSecond * (1 + rateShare * USED_TOLERANCE_SHARE);
    return {
      maxTokens: burstTokens + tokens * USED_TOLERANCE_SHARE,
      refillPerMs: refillPerSecond / 1_000,
    };
  }

  private bucketOf(
    workspace: Workspace,
    rate: TokenRate,
    nowMs: number,
  ): TokenBucket {
    const known = this.bucketsByWorkspace.get(workspace);
    const bucket = known ?? this.createBucket(rate, nowMs);
    bucket.window.changeLimit(this.limitOf(rate), nowMs);
    bucket.rate = rate;
    this.bucketsByWorkspace.set(workspace, bucket);
    return bucket;
  }
}

/** Returns the tokens that a request may overdraw; smaller requests may overdraw more. */
function overdraftFor(tokens: number, { burstTokens }: TokenRate): number {
  const relativeSize = Math.min(
    1,
    (tokens * OVERDRAFT_SIZE_DIVISOR) / burstTokens,
  );
  return burstTokens * MAX_OVERDRAFT_SHARE * (1 - relativeSize);
}
