import type { LiveRuns } from '@skylarkreach/core/pipeline';
import type { Clock, Log } from '@skylarkreach/core/ports';
import { LogComponent } from '@skylarkreach/core/ports';
import type {
  RecordReplicator,
  RecordStore,
  RequestRecord,
} from '@skylarkreach/core/streams';

import type { OpenResponse, OpenResponses } from './open-responses.js';

/** Maximum number of records that are copied to the peers concurrently. */
const CONCURRENT_COPIES = 16;

export interface HandOffDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly live: LiveRuns;
  readonly records: RecordStore;
  readonly copies: RecordReplicator;
  readonly responses: OpenResponses;
  /** Time before the reclaim at which callers are redirected to other daemons. */
  readonly marginMs: number;
}

/**
 * Hand-off of open requests to daemons in other data centres before this
 * daemon's instance is reclaimed. Copies all records immediately, continues to
 * serve until shortly before the reclaim, then copies the final records and
 * redirects each caller to another daemon.
 */
export class HandOff {
  private startedAtMs: number | undefined;
  private running: Promise<void> = Promise.resolve();
  private readonly stopController = new AbortController();

  constructor(private readonly deps: HandOffDependencies) {}

  /** Whether the reclaim of this daemon's instance was announced. */
  get hasStarted(): boolean {
    return this.startedAtMs !== undefined;
  }

  /** Starts the hand-off on the first notice and ignores further notices. */
  start(reclaimAtMs: number): void {
    if (this.hasStarted) return;
    this.startedAtMs = this.deps.clock.nowMs();
    this.deps.log.warn(
      LogComponent.Daemon,
      'The reclaim of this instance was announced.',
      {
        reclaimAtMs,
      },
    );
    this.running = this.run(reclaimAtMs).catch((error: unknown) => {
      this.deps.log.error(
        LogComponent.Streams,
        'The hand-off of open requests failed.',
        {
          error: String(error),
        },
      );
    });
  }

  /** Resolves once all callers are redirected; immediately if the hand-off has not started. */
  whenEnded(): Promise<void> {
    return this.running;
  }

  /** Ends the wait for the reclaim if the process stops earlier. */
  stopWaiting(): void {
    this.stopController.abort();
  }

  private async run(reclaimAtMs: number): Promise<void> {
    const { clock, live, marginMs, responses } = this.deps;
    await this.copyRecords(live.allRecords());
    const handOffAtMs = reclaimAtMs - marginMs;
    await clock
      .waitUntil(handOffAtMs, this.stopController.signal)
      .catch(() => undefined);
    await runInBatches(responses.all(), openResponse =>
      this.handOffResponse(openResponse),
    );
  }

  private async copyRecords(records: readonly RequestRecord[]): Promise<void> {
    await runInBatches(records, async record => {
      await this.deps.copies.replicate(record);
    });
  }

  /** Stops one response, copies its final record and redirects its caller. */
  private async handOffResponse(openResponse: OpenResponse): Promise<void> {
    const { clock, copies, records } = this.deps;
    openResponse.beginHandOff();
    if (!openResponse.isHandedOff) return;
    await openResponse.stopped;
    const record = records.find(openResponse.name, clock.nowMs());
    const holders = record === undefined ? [] : await copies.replicate(record);
    const successor = holders[0] ?? copies.successor(openResponse.name);
    openResponse.finishHandOff({
      callerUrl: successor?.callerUrl,
      hasRecord: record !== undefined,
    });
  }
}

async function runInBatches<T>(
  items: readonly T[],
  processItem: (item: T) => Promise<void>,
): Promise<void> {
  for (let start = 0; start < items.length; start += CONCURRENT_COPIES) {
    await Promise.all(
      items.slice(start, start + CONCURRENT_COPIES).map(processItem),
    );
  }
}
