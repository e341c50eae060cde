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
import type { TokenBucket } from './token-bucket.js';
import { createTokenBucket, waitMsAt } from './token-bucket.js';
import { TokenGrant } from './token-grant.js';

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
   * Acquires tokens for a request that is written at once. Returns undefined on
   * success, or else the milliseconds after which to retry.
   */
  tryAcquire(
    workspace: Workspace,
    rate: TokenRate,
    tokens: number,
    nowMs: number,
  ): number | undefined {
    const waitMs = this.waitMs(workspace, rate, tokens, nowMs);
    if (waitMs !== undefined) return waitMs;
    this.deduct(workspace, rate, tokens, nowMs).recordWrite(nowMs);
    return undefined;
  }

  /** Returns the milliseconds after which tokens may be acquired; undefined if they may be now. */
  waitMs(
    workspace: Workspace,
    rate: TokenRate,
    tokens: number,
    nowMs: number,
  ): number | undefined {
    const { window } = this.bucketOf(workspace, rate, nowMs);
    return waitMsAt(window.balance(nowMs), tokens, rate);
  }

  /** Deducts the tokens of a request that is written later, whatever the balance. */
  deduct(
    workspace: Workspace,
    rate: TokenRate,
    tokens: number,
    nowMs: number,
  ): TokenGrant {
    const bucket = this.bucketOf(workspace, rate, nowMs);
    return new TokenGrant(bucket, tokens, nowMs);
  }

  /**
   * Deducts the tokens of a request that a peer has admitted and this daemon writes.
   * The peer tells the other daemons of them.
   */
  deductForPeer(
    workspace: Workspace,
    rate: TokenRate,
    tokens: number,
    nowMs: number,
  ): void {
    this.bucketOf(workspace, rate, nowMs).window.charge(tokens, nowMs);
  }

  /**
   * Total grants of this daemon, to be sent to its peers: also those to requests that
   * are not written yet, since peers that hear of them only later grant too much meanwhile.
   */
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
    this.deductNews(this.peers.applyOwn(grants, nowMs), nowMs);
  }

  /** Deducts what others tell of a peer's grants to some workspaces. */
  applyPassedOnGrants(grants: LifetimeGrants, nowMs: number): void {
    this.deductNews(this.peers.applyPassedOn(grants, nowMs), nowMs);
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

  private deductNews(news: readonly GrantNews[], nowMs: number): void {
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
    return createTokenBucket(rate, window);
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
