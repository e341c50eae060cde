import type { KeyValueStore } from '../ports/index.js';
import { AnswerLostError, PutOutcome } from '../ports/index.js';
import type { FleetPlan } from './fleet-plan.js';
import { EMPTY_PLAN, parsePlan } from './fleet-plan.js';

/** Plan as stored, with the version that the next write has to expect. */
export interface StoredPlan {
  readonly plan: FleetPlan;
  /** Serialized form of the plan. */
  readonly text: string;
  /** Version of the stored value; 0 if no plan is stored. */
  readonly version: number;
}

export const NO_STORED_PLAN: StoredPlan = {
  plan: EMPTY_PLAN,
  text: '',
  version: 0,
};

/** Returns the key of a fleet's plan in the key-value service. */
export function planKey(fleet: string): string {
  return `fleet/${fleet}/plan`;
}

/** Reads and writes the plan by compare-and-swap. */
export class PlanStore {
  private readonly key: string;
  private cachedPlan: StoredPlan | undefined;

  constructor(
    private readonly keyValue: KeyValueStore,
    fleet: string,
  ) {
    this.key = planKey(fleet);
  }

  /** Reads the stored plan; parses it only if it has changed. Throws `PlatformError` or `FleetPlanError`. */
  async read(deadlineAtMs: number): Promise<StoredPlan> {
    const entry = await this.keyValue.get(this.key, deadlineAtMs);
    if (entry === undefined) return NO_STORED_PLAN;
    const { value: text, version } = entry;
    if (this.cachedPlan?.version === version && this.cachedPlan.text === text) {
      return this.cachedPlan;
    }
    this.cachedPlan = { plan: parsePlan(this.key, text), text, version };
    return this.cachedPlan;
  }

  /**
   * Replaces the expected version by the plan. Returns undefined if another
   * writer changed it first. Reads the value back when the response to the write
   * is lost. Throws `PlatformError` if the outcome cannot be determined.
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
    this.cachedPlan = written;
    return written;
  }

  private async put(
    written: StoredPlan,
    deadlineAtMs: number,
  ): Promise<boolean> {
    try {
      const result = await this.keyValue.put({
        key: this.key,
        value: written.text,
        expectedVersion: written.version - 1,
        deadlineAtMs,
      });
      return result.outcome === PutOutcome.Written;
    } catch (error) {
      if (!(error instanceof AnswerLostError)) throw error;
      const entry = await this.keyValue.get(this.key, deadlineAtMs);
      return entry?.version === written.version && entry.value === written.text;
    }
  }
}
