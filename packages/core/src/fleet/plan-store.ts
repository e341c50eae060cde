import type { KeyValue } from '../ports/index.js';
import { AnswerLostError, PutOutcome } from '../ports/index.js';
import type { FleetPlan } from './fleet-plan.js';
import { EMPTY_PLAN, parsePlan } from './fleet-plan.js';

/** A plan with the version that a write of it must name. */
export interface StoredPlan {
  readonly plan: FleetPlan;
  /** The plan as it is stored. */
  readonly text: string;
  /** 0 where no plan was stored yet. */
  readonly version: number;
}

export const NO_STORED_PLAN: StoredPlan = {
  plan: EMPTY_PLAN,
  text: '',
  version: 0,
};

/** Key of a fleet's plan in the key-value service. */
export function planKey(fleet: string): string {
  return `fleet/${fleet}/plan`;
}

/** Reads and writes the plan by compare-and-swap. */
export class PlanStore {
  private readonly key: string;
  private last: StoredPlan | undefined;

  constructor(
    private readonly keyValue: KeyValue,
    fleet: string,
  ) {
    this.key = planKey(fleet);
  }

  /** Throws `PlatformError` or `FleetPlanError`. */
  async read(deadlineAtMs: number): Promise<StoredPlan> {
    const entry = await this.keyValue.get(this.key, deadlineAtMs);
    if (entry === undefined) return NO_STORED_PLAN;
    const { value: text, version } = entry;
    if (this.last?.version === version && this.last.text === text) {
      return this.last;
    }
    this.last = { plan: parsePlan(this.key, text), text, version };
    return this.last;
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
    const text = JSON.stringify(plan);
    const written = { plan, text, version: expectedVersion + 1 };
    const isWritten = await this.put(written, deadlineAtMs);
    if (!isWritten) return undefined;
    this.last = written;
    return written;
  }

  private async put(plan: StoredPlan, deadlineAtMs: number): Promise<boolean> {
    try {
      const result = await this.keyValue.put({
        key: this.key,
        value: plan.text,
        expectedVersion: plan.version - 1,
        deadlineAtMs,
      });
      return result.outcome === PutOutcome.Written;
    } catch (error) {
      if (!(error instanceof AnswerLostError)) throw error;
      const entry = await this.keyValue.get(this.key, deadlineAtMs);
      return entry?.version === plan.version && entry.value === plan.text;
    }
  }
}
