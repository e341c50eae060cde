import { z } from 'zod';

import type {
  Clock,
  KeyValueEntry,
  KeyValueStore,
  Log,
  Metrics,
} from '../ports/index.js';
import {
  LogComponent,
  MAX_VALUE_BYTES,
  PlatformError,
  PutOutcome,
  readableItems,
} from '../ports/index.js';
import type { FencingToken } from './duty-api.js';
import type { LifetimeUsage, UsageLedger } from './usage-ledger.js';
import { fromUsageRow, toUsageRow, usageRowSchema } from './usage-rows.js';

const COUNTS_KEY = 'skylarkreach/usage-counts';
const CALL_TIMEOUT_MS = 800;

const countsSchema = z.object({ rows: readableItems(usageRowSchema) });

export interface UsageCheckpointDependencies {
  readonly clock: Clock;
  readonly keyValue: KeyValueStore;
  readonly ledger: UsageLedger;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Shortest time between two calls to the key-value service; 0: no counts are stored. */
  readonly intervalMs: () => number;
  /** First window whose report is not fixed yet. */
  readonly firstWindowId: () => number;
}

/**
 * Copy of all daemons' usage counts in the key-value service, so that counts of
 * windows without a report outlive a kill of all daemons. It is meant for tens
 * of daemons that count thousands of requests a second: the holder of the duties
 * writes the counts of all in one call, at most one in each interval and only
 * after a change. Counts are stored by the lifetime of the daemon that counted,
 * as peers tell them, so that a count that arrives on both ways is one.
 */
export class UsageCheckpoint {
  private storedVersion = 0;
  private isVersionKnown = false;
  /** Fencing number under which the stored counts were read. */
  private restoredFencingNumber: number | undefined;
  /** Change of the ledger that was stored last. */
  private storedChange = 0;
  private nextCallAtMs = -Infinity;

  constructor(private readonly deps: UsageCheckpointDependencies) {}

  /** Whether the ledger has the counts that were stored before this daemon got the duties. */
  hasRestored({ fencingNumber }: FencingToken): boolean {
    const isEnabled = this.deps.intervalMs() > 0;
    return !isEnabled || this.restoredFencingNumber === fencingNumber;
  }

  /** Restores the stored counts, or stores the present ones, if that is due. `currentToken` returns undefined while this daemon does not hold the duties. */
  async step(currentToken: () => FencingToken | undefined): Promise<void> {
    const { clock, intervalMs, ledger } = this.deps;
    const token = currentToken();
    const nowMs = clock.nowMs();
    if (token === undefined || intervalMs() <= 0) return;
    if (nowMs < this.nextCallAtMs) return;
    const mustRead = !this.isVersionKnown || !this.hasRestored(token);
    if (!mustRead && this.storedChange === ledger.changeCount) return;
    this.nextCallAtMs = nowMs + intervalMs();
    if (mustRead) await this.restore(token);
    else await this.store();
  }

  private async restore({ fencingNumber }: FencingToken): Promise<void> {
    const { clock, keyValue, ledger, log } = this.deps;
    try {
      const deadlineAtMs = clock.nowMs() + CALL_TIMEOUT_MS;
      const entry = await keyValue.get(COUNTS_KEY, deadlineAtMs);
      const stored = this.parse(entry);
      for (const { lifetime, ...usage } of stored)
        ledger.applyPeer({ lifetime, usage: [usage] });
      this.storedVersion = entry?.version ?? 0;
      this.isVersionKnown = true;
      this.restoredFencingNumber = fencingNumber;
      log.info(LogComponent.Duties, 'Stored usage counts were read.', {
        requests: sumOf(stored),
        version: this.storedVersion,
      });
    } catch (error) {
      this.report('The stored usage counts could not be read.', error);
    }
  }

  private async store(): Promise<void> {
    const { clock, firstWindowId, keyValue, ledger, metrics } = this.deps;
    const { changeCount } = ledger;
    const rows = ledger.allUsage(firstWindowId()).map(toUsageRow);
    const value = JSON.stringify({ rows });
    if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
      const error = new RangeError(`They take ${value.length} bytes.`);
      this.report('The usage counts are too large to be stored.', error);
      return;
    }
    try {
      const result = await keyValue.put({
        key: COUNTS_KEY,
        value,
        expectedVersion: this.storedVersion,
        deadlineAtMs: clock.nowMs() + CALL_TIMEOUT_MS,
      });
      metrics.increment('usage.checkpoints', 1, { outcome: result.outcome });
      if (result.outcome === PutOutcome.Conflict) {
        // Another holder of the duties has stored counts, which may be missing here.
        this.restoredFencingNumber = undefined;
        return;
      }
      this.storedVersion = result.version;
      this.storedChange = changeCount;
    } catch (error) {
      // The write may have taken effect.
      this.isVersionKnown = false;
      this.report('The usage counts could not be stored.', error);
    }
  }

  /** Returns no counts where the entry cannot be read; the next write replaces it. */
  private parse(entry: KeyValueEntry | undefined): readonly LifetimeUsage[] {
    if (entry === undefined) return [];
    try {
      const { rows } = countsSchema.parse(JSON.parse(entry.value));
      return rows.map(fromUsageRow);
    } catch (error) {
      const { log } = this.deps;
      log.error(LogComponent.Duties, 'The stored usage counts are malformed.', {
        error: String(error),
      });
      return [];
    }
  }

  /** Counts and logs a failed call. Throws errors that are none of the platform's. */
  private report(message: string, error: unknown): void {
    const { log, metrics } = this.deps;
    const isExpected =
      error instanceof PlatformError || error instanceof RangeError;
    if (!isExpected) throw error;
    metrics.increment('usage.checkpoints', 1, { outcome: 'failed' });
    log.warn(LogComponent.Duties, message, { error: error.message });
  }
}

function sumOf(usage: readonly LifetimeUsage[]): number {
  return usage
    .flatMap(({ counts }) => Object.values(counts))
    .reduce((sum, each) => sum + each, 0);
}
