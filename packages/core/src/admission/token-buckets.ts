import type { Workspace } from '../ports/index.js';

const MINUTE_MS = 60_000;
const MAX_WORKSPACES = 4_096;

interface TokenBucket {
  tokens: number;
  refilledAtMs: number;
}

/** Token buckets by workspace; the capacity of each is the tokens of one minute. */
export class TokenBuckets {
  private readonly buckets = new Map<Workspace, TokenBucket>();

  /**
   * Reserves tokens and returns undefined, or returns the time at which they will
   * be available. A request for more than one minute's tokens needs a full bucket
   * and leaves it negative.
   */
  reserve(
    workspace: Workspace,
    tokens: number,
    tokensPerMinute: number,
    nowMs: number,
  ): number | undefined {
    const bucket = this.refill(workspace, tokensPerMinute, nowMs);
    const needed = Math.min(tokens, tokensPerMinute);
    if (bucket.tokens >= needed) {
      bucket.tokens -= tokens;
      return undefined;
    }
    const missing = needed - bucket.tokens;
    return nowMs + (missing * MINUTE_MS) / tokensPerMinute;
  }

  /** Refunds tokens that were reserved and not used. */
  refund(workspace: Workspace, tokens: number): void {
    const bucket = this.buckets.get(workspace);
    if (bucket !== undefined) bucket.tokens += tokens;
  }

  private refill(
    workspace: Workspace,
    tokensPerMinute: number,
    nowMs: number,
  ): TokenBucket {
    const existing = this.buckets.get(workspace);
    const bucket = existing ?? { tokens: tokensPerMinute, refilledAtMs: nowMs };
    const elapsedMs = Math.max(0, nowMs - bucket.refilledAtMs);
    const added = (elapsedMs * tokensPerMinute) / MINUTE_MS;
    bucket.tokens = Math.min(tokensPerMinute, bucket.tokens + added);
    bucket.refilledAtMs = nowMs;
    this.buckets.delete(workspace);
    this.buckets.set(workspace, bucket);
    this.dropOldestBuckets();
    return bucket;
  }

  private dropOldestBuckets(): void {
    for (const workspace of this.buckets.keys()) {
      if (this.buckets.size <= MAX_WORKSPACES) return;
      this.buckets.delete(workspace);
    }
  }
}
