import { RetryBudget } from '@skylarkreach/core/routing';

import type { GatewaySettings } from '../settings/index.js';

/** Part of the repeats allowed that daemons use, which leaves room for their uneven shares. */
const REPEAT_USE = 0.8;

/** Repeats that this daemon may send to each group: its part of what all may. */
export class RepeatBudgets {
  private readonly byGroup = new Map<string, RetryBudget>();

  /** `daemons` counts the live daemons, this one included. */
  constructor(
    private readonly settings: GatewaySettings,
    private readonly daemons: () => number,
  ) {}

  of(group: string): RetryBudget {
    let budget = this.byGroup.get(group);
    if (budget === undefined) {
      budget = this.create();
      this.byGroup.set(group, budget);
    }
    return budget;
  }

  private create(): RetryBudget {
    const { repeatShare, repeatSlack } = this.settings.bounds;
    const ownSlack = () => (repeatSlack * REPEAT_USE) / this.daemons();
    return new RetryBudget({
      share: repeatShare * REPEAT_USE,
      initialSaved: ownSlack(),
      get maxSaved() {
        return ownSlack();
      },
    });
  }
}
