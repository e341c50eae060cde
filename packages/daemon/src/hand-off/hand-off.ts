import type { LiveRuns } from '@skylarkreach/core/pipeline';
import type { Clock, Log } from '@skylarkreach/core/ports';
import { LogPart } from '@skylarkreach/core/ports';
import type {
  RecordReplicator,
  RecordStore,
  RequestRecord,
} from '@skylarkreach/core/streams';

import type { OpenResponse, OpenResponses } from './open-responses.js';

/** Records that are copied to the peers at the same time. */
const CONCURRENT_COPIES = 16;

export interface HandOffParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly live: LiveRuns;
  readonly records: RecordStore;
  readonly copies: RecordReplicator;
  readonly responses: OpenResponses;
  /** Time before the reclaim at which callers are pointed elsewhere. */
  readonly marginMs: number;
}

/**
 * Hands requests off to other data centres before this daemon's instance is
 * taken: copies every record at once, serves on until shortly before the
 * reclaim, then copies the final records and points each caller elsewhere.
 */
export class HandOff {
  private begunAtMs: number | undefined;
  private running: Promise<void> = Promise.resolve();
  private readonly stopSignal = new AbortController();

  constructor(private readonly parts: HandOffParts) {}

  /** Whether a reclaim of this daemon was announced. */
  get hasBegun(): boolean {
    return this.begunAtMs !== undefined;
  }

  /** Begins on the first notice; further notices change nothing. */
  begin(reclaimAtMs: number): void {
    if (this.hasBegun) return;
    this.begunAtMs = this.parts.clock.nowMs();
    this.parts.log.warn(LogPart.Daemon, 'This instance is to be reclaimed.', {
      reclaimAtMs,
    });
    this.running = this.run(reclaimAtMs).catch((error: unknown) => {
      this.parts.log.error(LogPart.Streams, 'The hand-off failed.', {
        error: String(error),
      });
    });
  }

  /** Resolves once every caller was pointed elsewhere; at once where none had begun. */
  ended(): Promise<void> {
    return this.running;
  }

  /** Ends the wait for the reclaim, where the process stops earlier. */
  stop(): void {
    this.stopSignal.abort();
  }

  private async run(reclaimAtMs: number): Promise<void> {
    const { clock, live, marginMs, responses } = this.parts;
    await this.copyAll(live.allRecords());
    const leaveAtMs = reclaimAtMs - marginMs;
    await clock
      .waitUntil(leaveAtMs, this.stopSignal.signal)
      .catch(() => undefined);
    await inBatches(responses.all(), each => this.handOff(each));
  }

  private async copyAll(records: readonly RequestRecord[]): Promise<void> {
    await inBatches(records, async record => {
      await this.parts.copies.replicate(record);
    });
  }

  /** Stops one response, copies its final record and points its caller elsewhere. */
  private async handOff(open: OpenResponse): Promise<void> {
    const { clock, copies, records } = this.parts;
    open.beginHandOff();
    if (!open.isHandedOff) return;
    await open.stopped;
    const record = records.find(open.name, clock.nowMs());
    const holders = record === undefined ? [] : await copies.replicate(record);
    const successor = holders[0] ?? copies.successor(open.name);
    open.finishHandOff({
      callerUrl: successor?.callerUrl,
      hasRecord: record !== undefined,
    });
  }
}

async function inBatches<T>(
  items: readonly T[],
  work: (item: T) => Promise<void>,
): Promise<void> {
  for (let from = 0; from < items.length; from += CONCURRENT_COPIES) {
    await Promise.all(items.slice(from, from + CONCURRENT_COPIES).map(work));
  }
}
