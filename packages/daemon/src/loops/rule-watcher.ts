import type {
  ReplicatedValue,
  ReplicatedValueStore,
} from '@skylarkreach/core/membership';
import type { Clock, KeyValueStore, Random } from '@skylarkreach/core/ports';
import { AnswerLostError } from '@skylarkreach/core/ports';
import { RULES_KEY } from '@skylarkreach/core/rules';

const WATCH_TIMEOUT_MS = 2_000;
/** Time after the deadline of a watch at which its connection counts as unresponsive. */
const WATCH_RESPONSE_MARGIN_MS = 500;
const READ_TIMEOUT_MS = 1_500;
const RETRY_DELAY_MS = 500;
const IDLE_INTERVAL_MS = 250;

export interface RuleWatcherDependencies {
  readonly keyValue: KeyValueStore;
  readonly store: ReplicatedValueStore;
  readonly clock: Clock;
  readonly random: Random;
  /** Whether this daemon is a relay and has to watch now. */
  readonly isRelayActive: () => boolean;
  /** Stores a value that was read and sends it to other daemons. */
  readonly publish: (value: ReplicatedValue) => Promise<void>;
}

/**
 * Watcher of the rule file in the key-value service, active while this daemon is
 * a relay. Watches are short and also time out locally, so that an unresponsive
 * connection is replaced by a new one.
 */
export class RuleWatcher {
  private storeRevision = 0;
  private hasFailed = false;

  constructor(private readonly deps: RuleWatcherDependencies) {}

  /** Reads the current rules and applies them. */
  async readRules(): Promise<void> {
    const { clock, keyValue, store } = this.deps;
    const sentAtMs = clock.nowMs();
    const entry = await keyValue.get(RULES_KEY, sentAtMs + READ_TIMEOUT_MS);
    if (entry === undefined) return;
    store.apply(entry);
    if (entry.version >= store.version(RULES_KEY)) store.confirm(sentAtMs);
  }

  /** Waits for a change or for the deadline of the watch, and publishes the changes. */
  async step(): Promise<void> {
    this.hasFailed = false;
    if (!this.deps.isRelayActive()) return;
    try {
      await this.watchOnce();
    } catch (error) {
      this.hasFailed = true;
      throw error;
    }
  }

  /** Returns the time of the next step. */
  nextAtMs(nowMs: number): number {
    if (this.hasFailed) {
      return (
        nowMs + RETRY_DELAY_MS + this.deps.random.nextInteger(RETRY_DELAY_MS)
      );
    }
    return this.deps.isRelayActive() ? nowMs : nowMs + IDLE_INTERVAL_MS;
  }

  private async watchOnce(): Promise<void> {
    const { clock, publish, store } = this.deps;
    const sentAtMs = clock.nowMs();
    const result = await this.watchWithTimeout(sentAtMs + WATCH_TIMEOUT_MS);
    const isStale = result.entries.some(
      entry => entry.version < store.version(entry.key),
    );
    this.storeRevision = result.revision;
    for (const entry of result.entries) void publish(entry);
    if (!isStale) store.confirm(sentAtMs);
  }

  private async watchWithTimeout(deadlineAtMs: number) {
    const { clock, keyValue } = this.deps;
    const timeoutController = new AbortController();
    const timeout = clock
      .waitUntil(
        deadlineAtMs + WATCH_RESPONSE_MARGIN_MS,
        timeoutController.signal,
      )
      .then(() => {
        throw new AnswerLostError(
          'The watch received no response in time; it is retried on a new connection.',
        );
      });
    const watch = keyValue.watch({
      prefix: RULES_KEY,
      afterRevision: this.storeRevision,
      deadlineAtMs,
    });
    try {
      return await Promise.race([watch, timeout]);
    } finally {
      timeoutController.abort();
      timeout.catch(() => undefined);
    }
  }
}
