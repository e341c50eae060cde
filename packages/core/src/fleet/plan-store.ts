import type { KeyValue } from '../platform/index.js';
import { AnswerLostError, PutOutcome } from '../platform/index.js';
import type { FleetPlan } from './fleet-plan.js';
import { EMPTY_PLAN, parsePlan } from './fleet-plan.js';

/** A plan with the version that a write of it must name. */
export interface StoredPlan {
  readonly plan: FleetPlan;
  /** 0 where no plan was stored yet. */
  readonly version: number;
}

/** Key of a fleet's plan in the key-value service. */
export function planKey(fleet: string): string {
  return `fleet/${fleet}/plan`;
}

/** Reads and writes the plan by compare-and-swap. */
export class PlanStore {
  private readonly key: string;

  constructor(
    private readonly keyValue: KeyValue,
    fleet: string,
  ) {
    this.key = planKey(fleet);
  }

  /** Throws `PlatformError` or `FleetPlanError`. */
  async read(deadlineAtMs: number): Promise<StoredPlan> {
    const entry = await this.keyValue.get(this.key, deadlineAtMs);
    if (entry === undefined) return { plan: EMPTY_PLAN, version: 0 };
    return { plan: parsePlan(this.key, entry.value), version: entry.version };
  }

  /**
   * Writes the plan in place of the version read. Undefined where another
   * writer was first. A write whose answer was lost is read back. Throws
   * `PlatformError` where the outcome cannot be learnt.
   */
  async write(
    plan: FleetPlan,
    expectedVersion: number,
    deadlineAtMs: number,
  ): Promise<StoredPlan | undefined> {
    const value = JSON.stringify(plan);
    try {
      const result = await this.keyValue.put({
        key: this.key,
        value,
        expectedVersion,
        deadlineAtMs,
      });
      if (result.outcome === PutOutcome.Conflict) return undefined;
      return { plan, version: result.version };
    } catch (error) {
      if (!(error instanceof AnswerLostError)) throw error;
      return this.readBack(value, plan, expectedVersion, deadlineAtMs);
    }
  }

  private async readBack(
    value: string,
    plan: FleetPlan,
    expectedVersion: number,
    deadlineAtMs: number,
  ): Promise<StoredPlan | undefined> {
    const entry = await this.keyValue.get(this.key, deadlineAtMs);
    const isWritten =
      entry?.version === expectedVersion + 1 && entry.value === value;
    return isWritten ? { plan, version: entry.version } : undefined;
  }
}
