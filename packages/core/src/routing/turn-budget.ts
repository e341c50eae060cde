import type { RetryAllowance } from './retry-budget.js';

export interface TurnBudgetOptions {
  /** Number of retries that all daemons together may make in a window. */
  readonly retries: () => number;
  readonly windowMs: number;
  /** Returns the number of live daemons, this one included. */
  readonly daemonCount: () => number;
  /** Returns the position of this daemon among the live ones in an order that all of them know. */
  readonly rank: () => number;
  /** Returns the time on which the daemons agree, in milliseconds. */
  readonly clusterTimeMs: () => number;
}

/** Time from the start of a turn within which its retry is made. */
const TURN_VALIDITY_MS = 500; // above twice the interval at which waiting requests ask for a retry

/**
 * Budget of which daemons use one retry each in turn. It is meant for more
 * daemons than there are retries in a window, where an equal share of each is
 * below one. Turns begin at a fixed interval of the cluster's time, so that no
 * window has more than `retries`, also if daemons start again at any time: a
 * daemon uses no turn that began before it started. While daemons disagree on
 * who is live, several may have the same turn, and others none.
 */
export class TurnBudget implements RetryAllowance {
  /** Turns that began no later are not used: this daemon has started since, or used them. */
  private usableAfterMs: number;

  constructor(private readonly options: TurnBudgetOptions) {
    this.usableAfterMs = options.clusterTimeMs();
  }

  recordFirstAttempt(): void {
    // Turns depend on the time alone.
  }

  get isAvailable(): boolean {
    return this.usableTurnAtMs() !== undefined;
  }

  tryAcquire(): boolean {
    const turnAtMs = this.usableTurnAtMs();
    if (turnAtMs === undefined) return false;
    this.usableAfterMs = turnAtMs;
    return true;
  }

  /** Returns the start of this daemon's turn if a retry may be made in it now. */
  private usableTurnAtMs(): number | undefined {
    const { clusterTimeMs, daemonCount, rank, retries, windowMs } =
      this.options;
    // A window holds the turns that begin within it and those that are still valid at its start.
    const intervals = Math.floor(retries()) - 1;
    if (intervals < 1) return undefined;
    const turnMs = (windowMs + TURN_VALIDITY_MS) / intervals;
    const nowMs = clusterTimeMs();
    // A daemon whose clock is wrong follows it until it hears of the others' clocks.
    if (this.usableAfterMs - nowMs > TURN_VALIDITY_MS)
      this.usableAfterMs = nowMs;
    const present = Math.floor(nowMs / turnMs);
    const count = daemonCount();
    const turnsAgo = (((present - rank()) % count) + count) % count;
    const turnAtMs = (present - turnsAgo) * turnMs;
    const isUsable =
      nowMs - turnAtMs < TURN_VALIDITY_MS && turnAtMs > this.usableAfterMs;
    return isUsable ? turnAtMs : undefined;
  }
}
