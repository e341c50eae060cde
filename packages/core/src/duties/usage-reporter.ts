import { z } from 'zod';

import type { Clock, KeyValue, Log } from '../ports/index.js';
import { LogPart, PlatformError, PutOutcome } from '../ports/index.js';
import type { DutyCalls, DutyProof, UsageReport } from './duty-calls.js';
import type { UsageLedger } from './usage-ledger.js';

const KEY = 'skylarkreach/usage';
const CALL_TIMEOUT_MS = 800;
/** Reports that are kept so that a successor can repeat them. */
const KEPT_REPORTS = 6; // as many windows as the ledgers hold
/** Time for the counts of all daemons to arrive. */
const SETTLE_MS = 1_500; // three exchanges of hints

const reportsSchema = z.array(
  z.object({ windowId: z.number(), counts: z.record(z.string(), z.number()) }),
);

export interface UsageReporterParts {
  readonly clock: Clock;
  readonly keyValue: KeyValue;
  readonly calls: DutyCalls;
  readonly ledger: UsageLedger;
  readonly log: Log;
  /** Whether every live daemon's counts have arrived lately. */
  readonly isComplete: () => boolean;
  /** Time after a window's end at which it is reported without the missing counts. */
  readonly latestMs: number;
}

/**
 * Reports usage window by window. What is to be reported is fixed in the
 * key-value service before it is sent, so that a successor repeats it exactly.
 */
export class UsageReporter {
  private fixed: readonly UsageReport[] = [];
  private version = 0;
  private readonly sent = new Set<number>();
  private fencingNumber: number | undefined;

  constructor(private readonly parts: UsageReporterParts) {}

  /** Fixes and sends what is due. `proof` returns undefined once the duty is lost. */
  async step(proof: () => DutyProof | undefined): Promise<void> {
    const current = proof();
    if (current === undefined) return;
    if (this.fencingNumber !== current.fencingNumber) {
      if (!(await this.load())) return;
      this.fencingNumber = current.fencingNumber;
    }
    for (const windowId of this.dueWindows()) {
      if (!(await this.fix(windowId))) return;
    }
    for (const report of this.fixed) {
      if (this.sent.has(report.windowId)) continue;
      const still = proof();
      if (still === undefined) return;
      if (!(await this.send(report, still))) return;
    }
  }

  private dueWindows(): readonly number[] {
    const { isComplete, latestMs, ledger } = this.parts;
    const lastFixed = this.fixed.at(-1)?.windowId ?? -Infinity;
    return ledger
      .endedWindows(SETTLE_MS)
      .filter(windowId => windowId > lastFixed)
      .filter(
        windowId => isComplete() || ledger.endedAgoMs(windowId) >= latestMs,
      );
  }

  /** Reads what was fixed before. False where the key-value service gives no answer. */
  private async load(): Promise<boolean> {
    const { clock, keyValue, log } = this.parts;
    try {
      const entry = await keyValue.get(KEY, clock.nowMs() + CALL_TIMEOUT_MS);
      this.version = entry?.version ?? 0;
      this.fixed = entry === undefined ? [] : decode(entry.value);
      return true;
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      log.warn(LogPart.Duties, 'Fixed usage cannot be read.', {
        error: error.message,
      });
      return false;
    }
  }

  private async fix(windowId: number): Promise<boolean> {
    const { clock, keyValue, ledger, log } = this.parts;
    const next = [...this.fixed, ledger.total(windowId)].slice(-KEPT_REPORTS);
    try {
      const result = await keyValue.put({
        key: KEY,
        value: JSON.stringify(next),
        expectedVersion: this.version,
        deadlineAtMs: clock.nowMs() + CALL_TIMEOUT_MS,
      });
      if (result.outcome === PutOutcome.Conflict) {
        this.fencingNumber = undefined;
        return false;
      }
      this.version = result.version;
      this.fixed = next;
      return true;
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      // The write may have taken effect: what is fixed is read anew.
      this.fencingNumber = undefined;
      log.warn(LogPart.Duties, 'Usage could not be fixed.', {
        windowId,
        error: error.message,
      });
      return false;
    }
  }

  private async send(report: UsageReport, proof: DutyProof): Promise<boolean> {
    const { calls, clock, log } = this.parts;
    const { windowId } = report;
    try {
      const deadlineAtMs = clock.nowMs() + CALL_TIMEOUT_MS;
      await calls.reportUsage(report, proof, deadlineAtMs);
      this.sent.add(windowId);
      const requests = Object.values(report.counts).reduce((a, b) => a + b, 0);
      log.info(LogPart.Duties, 'Usage is reported.', { windowId, requests });
      return true;
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      log.warn(LogPart.Duties, 'Usage could not be reported.', {
        windowId,
        error: error.message,
      });
      return false;
    }
  }
}

function decode(value: string): readonly UsageReport[] {
  return reportsSchema.parse(JSON.parse(value));
}
