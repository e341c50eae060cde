import type { Clock, KeyValue } from '@skylarkreach/core/platform';
import type { RuleStore } from '@skylarkreach/core/rules';
import { RULES_KEY } from '@skylarkreach/core/rules';

const WATCH_TIMEOUT_MS = 20_000;
const READ_TIMEOUT_MS = 2_000;

/** Follows the rule file in the key-value service by a watch. */
export class RuleWatch {
  private storeRevision = 0;

  constructor(
    private readonly keyValue: KeyValue,
    private readonly rules: RuleStore,
    private readonly clock: Clock,
  ) {}

  /** Reads the rules as they are now. */
  async readNow(): Promise<void> {
    const deadlineAtMs = this.clock.nowMs() + READ_TIMEOUT_MS;
    const entry = await this.keyValue.get(RULES_KEY, deadlineAtMs);
    if (entry !== undefined) this.rules.apply(entry);
  }

  /** Waits for one change or the watch's deadline, and applies what came. */
  async step(): Promise<void> {
    const result = await this.keyValue.watch({
      prefix: RULES_KEY,
      afterRevision: this.storeRevision,
      deadlineAtMs: this.clock.nowMs() + WATCH_TIMEOUT_MS,
    });
    for (const entry of result.entries) this.rules.apply(entry);
    this.storeRevision = result.revision;
  }
}
