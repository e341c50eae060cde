import { z } from 'zod';

import type { Clock, KeyValueStore, Log } from '../ports/index.js';
import { LogComponent, PlatformError, PutOutcome } from '../ports/index.js';
import type { DutyApi, FencingToken, UsageReport } from './duty-api.js';
import { ReportOutcome } from './duty-api.js';
import type { UsageLedger } from './usage-ledger.js';

const USAGE_KEY = 'skylarkreach/usage';
const CALL_TIMEOUT_MS = 800;
/** Number of stored reports, which a new holder of the duties can send again. */
const RETAINED_REPORTS = 6; // the number of windows that the ledgers retain
/** Time after the end of a window for the counts of all daemons to arrive. */
const SETTLE_MS = 1_500; // three exchanges of hints

const reportsSchema = z.array(
  z.object({ windowId: z.number(), counts: z.record(z.string(), z.number()) }),
);

export interface UsageReporterDependencies {
  readonly clock: Clock;
  readonly keyValue: KeyValueStore;
  readonly dutyApi: DutyApi;
  readonly ledger: UsageLedger;
  readonly log: Log;
  /** Returns whether recent counts of every live daemon have arrived. */
  readonly isComplete: () => boolean;
  /** Time after a window's end at which it is reported even if counts are missing. */
  readonly maxWaitMs: number;
  /** Returns whether the ledger has the counts that earlier holders of the duties have stored. */
  readonly hasRestored: (token: FencingToken) => boolean;
}

/**
 * Reports usage to the platform, one window at a time. A report is stored in
 * the key-value service before it is sent, so that a new holder of the duties
 * repeats it with the same counts.
 */
export class UsageReporter {
  /** Reports in the key-value service, oldest first. */
  private storedReports: readonly UsageReport[] = [];
  private storedVersion = 0;
  /** Windows before this one are not reported. */
  private firstWindowId = -Infinity;
  private readonly sentWindowIds = new Set<number>();
  /** Fencing number under which the stored reports were read; undefined where they must be read again. */
  private loadedFencingNumber: number | undefined;

  constructor(private readonly deps: UsageReporterDependencies) {}

  /** Stores and sends the reports that are due. `currentToken` returns undefined once the lease is lost. */
  async step(currentToken: () => FencingToken | undefined): Promise<void> {
    const { hasRestored, ledger } = this.deps;
    const initialToken = currentToken();
    if (initialToken === undefined) return;
    if (this.loadedFencingNumber !== initialToken.fencingNumber) {
      if (!(await this.loadStoredReports())) return;
      this.loadedFencingNumber = initialToken.fencingNumber;
    }
    const dueWindowIds = hasRestored(initialToken) ? this.dueWindowIds() : [];
    for (const windowId of dueWindowIds) {
      if (!(await this.storeReport(windowId))) return;
    }
    for (const report of this.storedReports) {
      if (this.sentWindowIds.has(report.windowId)) continue;
      const token = currentToken();
      if (token === undefined) return;
      if (!(await this.sendReport(report, token))) return;
    }
    this.forgetSentBefore(this.storedReports[0]?.windowId ?? -Infinity);
    ledger.closeBefore(this.firstUnstoredId);
  }

  /** First window to be reported: neither is its report stored, nor is it known that the platform has it. */
  get nextWindowId(): number {
    const firstUnreportedId = this.deps.ledger.firstUnreportedId ?? -Infinity;
    return Math.max(
      this.firstWindowId,
      this.firstUnstoredId,
      firstUnreportedId,
    );
  }

  private get firstUnstoredId(): number {
    return (this.storedReports.at(-1)?.windowId ?? -Infinity) + 1;
  }

  private dueWindowIds(): readonly number[] {
    const { isComplete, maxWaitMs, ledger } = this.deps;
    const firstId = this.nextWindowId;
    return ledger
      .endedWindows(SETTLE_MS)
      .filter(windowId => windowId >= firstId)
      .filter(
        windowId => isComplete() || ledger.endedAgoMs(windowId) >= maxWaitMs,
      );
  }

  private forgetSentBefore(firstWindowId: number): void {
    for (const windowId of this.sentWindowIds)
      if (windowId < firstWindowId) this.sentWindowIds.delete(windowId);
  }

  /** Reads the stored reports. Returns false where the key-value service does not answer. */
  private async loadStoredReports(): Promise<boolean> {
    const { clock, keyValue, log } = this.deps;
    try {
      const entry = await keyValue.get(
        USAGE_KEY,
        clock.nowMs() + CALL_TIMEOUT_MS,
      );
      this.storedVersion = entry?.version ?? 0;
      const reports = entry === undefined ? [] : parseReports(entry.value);
      if (reports === undefined) this.skipEndedWindows();
      this.storedReports = this.withNewerKnown(reports ?? []);
      return true;
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      log.warn(
        LogComponent.Duties,
        'The stored usage reports could not be read.',
        {
          error: error.message,
        },
      );
      return false;
    }
  }

  /** Adds the reports that this daemon stored after those read: the store may have been restored from an older copy. */
  private withNewerKnown(reports: readonly UsageReport[]): UsageReport[] {
    const lastReadId = reports.at(-1)?.windowId ?? -Infinity;
    const newer = this.storedReports.filter(
      ({ windowId }) => windowId > lastReadId,
    );
    return [...reports, ...newer].slice(-RETAINED_REPORTS);
  }

  /** Leaves out the windows that have ended, which may have been reported with other counts than those known here. */
  private skipEndedWindows(): void {
    const { ledger, log } = this.deps;
    // Not from the windows in the ledger: counts of earlier ones may still be restored.
    this.firstWindowId = ledger.openWindowId();
    log.error(
      LogComponent.Duties,
      'The stored usage reports cannot be read; the windows until now are not reported.',
      { firstWindowId: this.firstWindowId },
    );
  }

  /** Stores the report of a window by compare-and-swap. Returns false where that fails. */
  private async storeReport(windowId: number): Promise<boolean> {
    const { clock, keyValue, ledger, log } = this.deps;
    const reports = [...this.storedReports, ledger.totalReport(windowId)].slice(
      -RETAINED_REPORTS,
    );
    try {
      const result = await keyValue.put({
        key: USAGE_KEY,
        value: JSON.stringify(reports),
        expectedVersion: this.storedVersion,
        deadlineAtMs: clock.nowMs() + CALL_TIMEOUT_MS,
      });
      if (result.outcome === PutOutcome.Conflict) {
        this.loadedFencingNumber = undefined;
        return false;
      }
      this.storedVersion = result.version;
      this.storedReports = reports;
      return true;
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      // The write may have taken effect, so the stored reports are read again.
      this.loadedFencingNumber = undefined;
      log.warn(LogComponent.Duties, 'The usage report could not be stored.', {
        windowId,
        error: error.message,
      });
      return false;
    }
  }

  private async sendReport(
    report: UsageReport,
    token: FencingToken,
  ): Promise<boolean> {
    const { dutyApi, clock, log } = this.deps;
    const { windowId } = report;
    try {
      const deadlineAtMs = clock.nowMs() + CALL_TIMEOUT_MS;
      const outcome = await dutyApi.reportUsage(report, {
        token,
        deadlineAtMs,
      });
      this.sentWindowIds.add(windowId);
      if (outcome === ReportOutcome.Rejected) {
        log.error(
          LogComponent.Duties,
          'The platform has rejected a usage report; compare it with what the platform holds.',
          { windowId },
        );
        return true;
      }
      const requests = Object.values(report.counts).reduce((a, b) => a + b, 0);
      log.info(LogComponent.Duties, 'Usage is reported.', {
        windowId,
        requests,
      });
      return true;
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      log.warn(LogComponent.Duties, 'Usage could not be reported.', {
        windowId,
        error: error.message,
      });
      return false;
    }
  }
}

/** Returns undefined if the text is not a list of reports. */
function parseReports(value: string): readonly UsageReport[] | undefined {
  try {
    return reportsSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}
