import type { ClusterTime } from '@skylarkreach/core/hints';
import type { KnownDaemons } from '@skylarkreach/core/membership';
import type { Clock } from '@skylarkreach/core/ports';
import type { RetryAllowance } from '@skylarkreach/core/routing';
import {
  RecentRequestsBudget,
  RetryBudget,
  TurnBudget,
} from '@skylarkreach/core/routing';

import type { GatewaySettings } from '../settings/index.js';
import type { GatewayCluster } from './gateway-cluster.js';
import type { GatewayContext } from './gateway-context.js';

type RetryBounds = Pick<
  GatewaySettings['bounds'],
  'repeatShare' | 'repeatSlack' | 'repeatWindowSeconds'
>;

/** What a daemon knows of all daemons that share the budgets. */
export interface RetryFleet {
  /** Returns the number of live daemons, this one included. */
  daemonCount(): number;
  /** Returns the position of this daemon among the live ones in an order that all of them know. */
  rank(): number;
  /** Returns the time on which the daemons agree, in milliseconds. */
  clusterTimeMs(): number;
  /** Whether all daemons start for the first time, so that none has used retries before. */
  readonly isFirstStart: boolean;
}

/** Fraction of the allowed retries that daemons use; the rest covers load spread unevenly among them. */
const USED_RETRY_SHARE = 0.8;
const MS_PER_SECOND = 1_000;

/** Retry budgets by endpoint group: this daemon's share of the budget of all daemons. */
export class RetryBudgets {
  private readonly byGroup = new Map<string, RetryAllowance>();

  constructor(
    private readonly bounds: RetryBounds,
    private readonly fleet: RetryFleet,
    private readonly clock: Pick<Clock, 'nowMs'>,
  ) {}

  /** Returns the budget of a group, created on first use. */
  forGroup(group: string): RetryAllowance {
    let budget = this.byGroup.get(group);
    if (budget === undefined) {
      budget = this.createBudget();
      this.byGroup.set(group, budget);
    }
    return budget;
  }

  /** Creates a budget that reads the bounds at each use, as they may change. */
  private createBudget(): RetryAllowance {
    const { bounds, clock, fleet } = this;
    const usedSlack = () => bounds.repeatSlack * USED_RETRY_SHARE;
    const ownSlack = () => usedSlack() / fleet.daemonCount();
    const shared = new RetryBudget({
      get refillPerFirstAttempt() {
        return bounds.repeatShare * USED_RETRY_SHARE;
      },
      // Before a restart, the daemon may have used its share in the same window.
      initialBalance: fleet.isFirstStart ? ownSlack() : 0,
      get capacity() {
        return ownSlack();
      },
    });
    const paid = new RecentRequestsBudget({
      get retryShare() {
        return bounds.repeatShare;
      },
      get windowMs() {
        return bounds.repeatWindowSeconds * MS_PER_SECOND;
      },
      nowMs: () => clock.nowMs(),
    });
    const turns = new TurnBudget({
      get windowMs() {
        return bounds.repeatWindowSeconds * MS_PER_SECOND;
      },
      retries: usedSlack,
      daemonCount: () => fleet.daemonCount(),
      rank: () => fleet.rank(),
      clusterTimeMs: () => fleet.clusterTimeMs(),
    });
    return new DividedBudget(shared, [paid, turns], () => ownSlack() >= 1);
  }
}

/** Returns the retry budgets of the daemon that is wired in `context`. */
export function createRetryBudgets(
  { clock, settings }: GatewayContext,
  cluster: GatewayCluster,
  knownDaemons: KnownDaemons,
  clusterTime: ClusterTime,
): RetryBudgets {
  const fleet: RetryFleet = {
    daemonCount: () => Math.max(cluster.size, knownDaemons.ids().length),
    rank: () => knownDaemons.rank(),
    clusterTimeMs: () => clusterTime.nowMs(),
    isFirstStart: settings.identity.isFirstStart,
  };
  return new RetryBudgets(settings.bounds, fleet, clock);
}

/**
 * Budget of one daemon. Where its share of the slack is below one retry, requests of
 * late pay for retries, and the daemons use the slack in turn.
 */
class DividedBudget implements RetryAllowance {
  constructor(
    private readonly shared: RetryAllowance,
    private readonly others: readonly RetryAllowance[],
    private readonly hasShare: () => boolean,
  ) {}

  recordFirstAttempt(): void {
    this.shared.recordFirstAttempt();
    if (this.hasShare()) return;
    for (const budget of this.others) budget.recordFirstAttempt();
  }

  get isAvailable(): boolean {
    return this.current().some(budget => budget.isAvailable);
  }

  tryAcquire(): boolean {
    return this.current().some(budget => budget.tryAcquire());
  }

  private current(): readonly RetryAllowance[] {
    return this.hasShare() ? [this.shared] : this.others;
  }
}
