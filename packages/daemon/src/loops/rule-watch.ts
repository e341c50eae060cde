import type {
  ReplicatedValue,
  ReplicatedValueStore,
} from '@skylarkreach/core/membership';
import type { Clock, KeyValue, Random } from '@skylarkreach/core/ports';
import { AnswerLostError } from '@skylarkreach/core/ports';
import { RULES_KEY } from '@skylarkreach/core/rules';

const WATCH_TIMEOUT_MS = 2_000;
/** Time after its deadline at which a watch counts as silent. */
const WATCH_MARGIN_MS = 500;
const READ_TIMEOUT_MS = 1_500;
const RETRY_MS = 500;
const IDLE_MS = 250;

export interface RuleWatchParts {
  readonly keyValue: KeyValue;
  readonly store: ReplicatedValueStore;
  readonly clock: Clock;
  readonly random: Random;
  /** Whether this daemon is to watch now. */
  readonly isActing: () => boolean;
  /** Takes a value that was read and tells others of it. */
  readonly publish: (value: ReplicatedValue) => Promise<void>;
}

/**
 * Follows the rule file in the key-value service while this daemon is a relay.
 * Each watch is short and has its own deadline here, so that a connection that
 * has gone silent is given up for a new one.
 */
export class RuleWatch {
  private storeRevision = 0;
  private failed = false;

  constructor(private readonly parts: RuleWatchParts) {}

  /** Reads the rules as they are now. */
  async readNow(): Promise<void> {
    const { clock, keyValue, store } = this.parts;
    const sentAtMs = clock.nowMs();
    const entry = await keyValue.get(RULES_KEY, sentAtMs + READ_TIMEOUT_MS);
    if (entry === undefined) return;
    store.apply(entry);
    if (entry.version >= store.version(RULES_KEY)) store.confirm(sentAtMs);
  }

  /** Waits for one change or the watch's deadline, and hands on what came. */
  async step(): Promise<void> {
    this.failed = false;
    if (!this.parts.isActing()) return;
    try {
      await this.watchOnce();
    } catch (error) {
      this.failed = true;
      throw error;
    }
  }

  /** Time of the next step. */
  nextAtMs(nowMs: number): number {
    if (this.failed) {
      return nowMs + RETRY_MS + this.parts.random.nextInteger(RETRY_MS);
    }
    return this.parts.isActing() ? nowMs : nowMs + IDLE_MS;
  }

  private async watchOnce(): Promise<void> {
    const { clock, publish, store } = this.parts;
    const sentAtMs = clock.nowMs();
    const result = await this.withDeadline(sentAtMs + WATCH_TIMEOUT_MS);
    const isBehind = result.entries.some(
      entry => entry.version < store.version(entry.key),
    );
    this.storeRevision = result.revision;
    for (const entry of result.entries) void publish(entry);
    if (!isBehind) store.confirm(sentAtMs);
  }

  private async withDeadline(deadlineAtMs: number) {
    const { clock, keyValue } = this.parts;
    const answered = new AbortController();
    const silent = clock
      .waitUntil(deadlineAtMs + WATCH_MARGIN_MS, answered.signal)
      .then(() => {
        throw new AnswerLostError('The watch is silent; it is dialled again.');
      });
    const watch = keyValue.watch({
      prefix: RULES_KEY,
      afterRevision: this.storeRevision,
      deadlineAtMs,
    });
    try {
      return await Promise.race([watch, silent]);
    } finally {
      answered.abort();
      silent.catch(() => undefined);
    }
  }
}
