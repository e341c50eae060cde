import type { Workspace } from '../ports/index.js';

const MINUTE_MS = 60_000;
const MAX_WORKSPACES = 4_096;

interface Allowance {
  tokens: number;
  filledAtMs: number;
}

/** Token buckets by workspace; each holds one minute's tokens. */
export class TokenAllowance {
  private readonly allowances = new Map<Workspace, Allowance>();

  /**
   * Takes tokens and returns undefined, or returns the time at which they will
   * be there. A request larger than a minute's tokens waits for a full bucket.
   */
  take(
    workspace: Workspace,
    tokens: number,
    tokensPerMinute: number,
    nowMs: number,
  ): number | undefined {
    const allowance = this.fill(workspace, tokensPerMinute, nowMs);
    const needed = Math.min(tokens, tokensPerMinute);
    if (allowance.tokens >= needed) {
      allowance.tokens -= tokens;
      return undefined;
    }
    const missing = needed - allowance.tokens;
    return nowMs + (missing * MINUTE_MS) / tokensPerMinute;
  }

  /** Returns tokens that were taken and not used. */
  giveBack(workspace: Workspace, tokens: number): void {
    const allowance = this.allowances.get(workspace);
    if (allowance !== undefined) allowance.tokens += tokens;
  }

  private fill(
    workspace: Workspace,
    tokensPerMinute: number,
    nowMs: number,
  ): Allowance {
    const known = this.allowances.get(workspace);
    const allowance = known ?? { tokens: tokensPerMinute, filledAtMs: nowMs };
    const elapsedMs = Math.max(0, nowMs - allowance.filledAtMs);
    const added = (elapsedMs * tokensPerMinute) / MINUTE_MS;
    allowance.tokens = Math.min(tokensPerMinute, allowance.tokens + added);
    allowance.filledAtMs = nowMs;
    this.allowances.delete(workspace);
    this.allowances.set(workspace, allowance);
    this.trim();
    return allowance;
  }

  private trim(): void {
    for (const workspace of this.allowances.keys()) {
      if (this.allowances.size <= MAX_WORKSPACES) return;
      this.allowances.delete(workspace);
    }
  }
}
