import type { Workspace } from '../ports/index.js';
import type { TokenRate } from './configuration.js';

interface TokenBucket {
  rate: TokenRate;
  /** Tokens left over all daemons, as far as this daemon knows; negative if overdrawn. */
  tokens: number;
  refilledAtMs: number;
  /** Tokens granted by this process since it started. */
  granted: number;
}

/** Tokens that one daemon has granted to each workspace since its process started. */
export type GrantedTokens = Readonly<Record<Workspace, number>>;

/** Excess over a workspace's rate limit that the daemons together may grant, since updates about peers' grants arrive late. */
export interface TokenRateTolerance {
  /** Share of the rate. */
  readonly rateShare: number;
  readonly tokens: number;
}

const NO_TOLERANCE: TokenRateTolerance = { rateShare: 0, tokens: 0 };
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

  private readonly grantedByPeer = new Map<string, Map<Workspace, number>>();

  constructor(private readonly tolerance = NO_TOLERANCE) {}

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
    const bucket = this.refillBucket(workspace, rate, nowMs);
    const neededTokens =
      Math.min(tokens, rate.burstTokens * MIN_BALANCE_SHARE) -
      overdraftFor(tokens, rate);
    if (bucket.tokens >= neededTokens) {
      bucket.tokens -= tokens;
      bucket.granted += tokens;
      return undefined;
    }
    const missingTokens = neededTokens - bucket.tokens;
    return Math.max(
      MIN_RETRY_WAIT_MS,
      (missingTokens * 1_000) / rate.tokensPerSecond,
    );
  }

  /** Total grants of this daemon, to be sent to its peers. */
  grantedTotals(): GrantedTokens {
    return Object.fromEntries(
      [...this.bucketsByWorkspace].map(([workspace, bucket]) => [
        workspace,
        bucket.granted,
      ]),
    );
  }

  /**
   * Deducts the grants of one incarnation of a peer, given as totals since its
   * start. The first update is deducted in full only if the peer started after
   * this daemon (`isNew`).
   */
  applyPeerGrants(
    incarnation: string,
    granted: GrantedTokens,
    isNew: boolean,
  ): void {
    const previous = this.grantedByPeer.get(incarnation);
    const totals = previous ?? new Map<Workspace, number>();
    for (const [workspace, total] of Object.entries(granted)) {
      const isFirst = previous === undefined && !isNew;
      const added = isFirst ? 0 : total - (totals.get(workspace) ?? 0);
      totals.set(workspace, Math.max(total, totals.get(workspace) ?? 0));
      const bucket = this.bucketsByWorkspace.get(workspace);
      if (bucket !== undefined) bucket.tokens -= Math.max(0, added);
    }
    this.grantedByPeer.set(incarnation, totals);
  }

  /** Drops the state of all peers but the given incarnations. */
  retainPeers(incarnations: ReadonlySet<string>): void {
    for (const incarnation of this.grantedByPeer.keys()) {
      if (!incarnations.has(incarnation))
        this.grantedByPeer.delete(incarnation);
    }
  }

  /** Returns the tokens left, granted and the rate of each workspace, for the operators. */
  dumpState(): unknown {
    return Object.fromEntries(
      [...this.bucketsByWorkspace].map(
        ([workspace, { granted, rate, tokens }]) => [
          workspace,
          { left: Math.round(tokens), granted, ...rate },
        ],
      ),
    );
  }

  private refillBucket(
    workspace: Workspace,
    rate: TokenRate,
    nowMs: number,
  ): TokenBucket {
    let bucket = this.bucketsByWorkspace.get(workspace);
    if (bucket === undefined) {
      bucket = {
        rate,
        tokens: rate.burstTokens,
        refilledAtMs: nowMs,
        granted: 0,
      };
      this.bucketsByWorkspace.set(workspace, bucket);
    }
    const { rateShare, tokens } = this.tolerance;
    const elapsedMs = Math.max(0, nowMs - bucket.refilledAtMs);
    const refillPerSecond =
      bucket.rate.tokensPerSecond * (1 + rateShare * USED_TOLERANCE_SHARE);
    const added = (elapsedMs * refillPerSecond) / 1_000;
    const maxTokens = rate.burstTokens + tokens * USED_TOLERANCE_SHARE;
    bucket.tokens = Math.min(maxTokens, bucket.tokens + added);
    bucket.refilledAtMs = nowMs;
    bucket.rate = rate;
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
