import type { Workspace } from '../ports/index.js';
import type { TokenRate } from './configuration.js';

interface Allowance {
  rate: TokenRate;
  /** Tokens left over all daemons, as this daemon knows it. */
  tokens: number;
  filledAtMs: number;
  /** Tokens granted here since this process started. */
  granted: number;
}

/** Tokens granted by one daemon to each workspace since its process started. */
export type GrantedTokens = Readonly<Record<Workspace, number>>;

/** Least time that a refused caller is told to wait. */
const MIN_WAIT_MS = 100;
/** Part of the burst below which a request counts as small. */
const SMALL_PART = 50; // a look-up is about a thousandth, a draft a fifth
/** Share of the burst that small requests may overdraw, so that large ones do not keep them out. */
const RESERVE_SHARE = 0.2; // below what the platform lets daemons err by

/**
 * Allowances of workspaces over all daemons: one token bucket for each, from
 * which each daemon takes its own grants at once and those of its peers as they
 * become known.
 */
export class AllowanceLedger {
  private readonly byWorkspace = new Map<Workspace, Allowance>();
  private readonly grantedByPeer = new Map<string, Map<Workspace, number>>();

  /**
   * Takes tokens; returns the time in milliseconds to wait where none are left.
   * The last request may take more than there are, so that large requests are
   * not kept out by small ones, and small ones have a reserve.
   */
  take(
    workspace: Workspace,
    rate: TokenRate,
    tokens: number,
    nowMs: number,
  ): number | undefined {
    const allowance = this.fill(workspace, rate, nowMs);
    const isSmall = tokens * SMALL_PART <= rate.burstTokens;
    const reserve = isSmall ? rate.burstTokens * RESERVE_SHARE : 0;
    if (allowance.tokens + reserve > 0) {
      allowance.tokens -= tokens;
      allowance.granted += tokens;
      return undefined;
    }
    const debt = -allowance.tokens;
    return Math.max(MIN_WAIT_MS, (debt * 1_000) / rate.tokensPerSecond);
  }

  /** Grants of this daemon, for its peers. */
  granted(): GrantedTokens {
    return Object.fromEntries(
      [...this.byWorkspace].map(([workspace, each]) => [
        workspace,
        each.granted,
      ]),
    );
  }

  /**
   * Takes what one lifetime of a peer has granted so far. Its first report
   * counts whole only from a peer that started after this daemon did.
   */
  applyPeer(lifetime: string, granted: GrantedTokens, isNew: boolean): void {
    const before = this.grantedByPeer.get(lifetime);
    const known = before ?? new Map<Workspace, number>();
    for (const [workspace, total] of Object.entries(granted)) {
      const isFirst = before === undefined && !isNew;
      const added = isFirst ? 0 : total - (known.get(workspace) ?? 0);
      known.set(workspace, Math.max(total, known.get(workspace) ?? 0));
      const allowance = this.byWorkspace.get(workspace);
      if (allowance !== undefined) allowance.tokens -= Math.max(0, added);
    }
    this.grantedByPeer.set(lifetime, known);
  }

  /** Forgets peers that are gone. */
  keepPeers(lifetimes: ReadonlySet<string>): void {
    for (const lifetime of this.grantedByPeer.keys()) {
      if (!lifetimes.has(lifetime)) this.grantedByPeer.delete(lifetime);
    }
  }

  /** Tokens left by workspace, for the operators. */
  dumpState(): unknown {
    return Object.fromEntries(
      [...this.byWorkspace].map(([workspace, { granted, rate, tokens }]) => [
        workspace,
        { left: Math.round(tokens), granted, ...rate },
      ]),
    );
  }

  private fill(
    workspace: Workspace,
    rate: TokenRate,
    nowMs: number,
  ): Allowance {
    let allowance = this.byWorkspace.get(workspace);
    if (allowance === undefined) {
      allowance = {
        rate,
        tokens: rate.burstTokens,
        filledAtMs: nowMs,
        granted: 0,
      };
      this.byWorkspace.set(workspace, allowance);
    }
    const elapsedMs = Math.max(0, nowMs - allowance.filledAtMs);
    const added = (elapsedMs * allowance.rate.tokensPerSecond) / 1_000;
    allowance.tokens = Math.min(rate.burstTokens, allowance.tokens + added);
    allowance.filledAtMs = nowMs;
    allowance.rate = rate;
    return allowance;
  }
}
