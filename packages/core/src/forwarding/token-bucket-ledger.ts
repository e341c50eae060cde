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

/** What daemons together may grant beyond an allowance, as none knows of all grants at once. */
export interface AllowanceTolerance {
  /** Share of the rate. */
  readonly rateShare: number;
  readonly tokens: number;
}

const NO_TOLERANCE: AllowanceTolerance = { rateShare: 0, tokens: 0 };
/** Part of the tolerance that is granted, so that callers are not refused what is theirs; the rest covers grants not yet heard of. */
const TOLERANCE_USE = 0.35;

/** Least time that a refused caller is told to wait. */
const MIN_WAIT_MS = 100;
/** Share of the burst that must be there for a larger request, which then overdraws the rest. */
const NEEDED_SHARE = 0.15; // above most drafts; the largest ones would else wait for ever behind smaller ones
/** Part of the burst from which a request is too large for the reserve. */
const SMALL_PART = 50; // a look-up is about a thousandth, a draft a fifth
/** Share of the burst that the smallest requests may overdraw, so that larger ones do not keep them out. */
const RESERVE_SHARE = 0.2; // below what the platform lets daemons err by

/**
 * Allowances of workspaces over all daemons: one token bucket for each, from
 * which each daemon takes its own grants at once and those of its peers as they
 * become known.
 */
export class AllowanceLedger {
  private readonly byWorkspace = new Map<Workspace, Allowance>();

  private readonly grantedByPeer = new Map<string, Map<Workspace, number>>();

  constructor(private readonly tolerance = NO_TOLERANCE) {}

  /**
   * Takes tokens; returns the time in milliseconds to wait where none are left.
   * A large request may take more than there are, so that small ones do not
   * keep it out for ever, and small ones have a reserve.
   */
  take(
    workspace: Workspace,
    rate: TokenRate,
    tokens: number,
    nowMs: number,
  ): number | undefined {
    const allowance = this.fill(workspace, rate, nowMs);
    const needed =
      Math.min(tokens, rate.burstTokens * NEEDED_SHARE) -
      reserveFor(tokens, rate);
    if (allowance.tokens >= needed) {
      allowance.tokens -= tokens;
      allowance.granted += tokens;
      return undefined;
    }
    const missing = needed - allowance.tokens;
    return Math.max(MIN_WAIT_MS, (missing * 1_000) / rate.tokensPerSecond);
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
    const { rateShare, tokens } = this.tolerance;
    const elapsedMs = Math.max(0, nowMs - allowance.filledAtMs);
    const refill =
      allowance.rate.tokensPerSecond * (1 + rateShare * TOLERANCE_USE);
    const added = (elapsedMs * refill) / 1_000;
    const most = rate.burstTokens + tokens * TOLERANCE_USE;
    allowance.tokens = Math.min(most, allowance.tokens + added);
    allowance.filledAtMs = nowMs;
    allowance.rate = rate;
    return allowance;
  }
}

/** Tokens that a request may overdraw: the smaller it is, the more. */
function reserveFor(tokens: number, { burstTokens }: TokenRate): number {
  const size = Math.min(1, (tokens * SMALL_PART) / burstTokens);
  return burstTokens * RESERVE_SHARE * (1 - size);
}
