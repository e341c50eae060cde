import type { Clock, KeyValueEntry, KeyValueStore } from '../ports/index.js';
import {
  AnswerLostError,
  KeyValueUnavailableError,
  PutOutcome,
} from '../ports/index.js';
import type { MoveRecord, MoveSpec } from './move.js';
import {
  createMoveRecord,
  decodeMoveRecord,
  moveKey,
  MoveState,
} from './move.js';
import type { KindRates } from './share-plan.js';
import { expectedRequestCount, MIN_TOTAL_SAMPLE_COUNT } from './share-plan.js';

/** Outcome of an attempt to start a move. */
export enum StartMoveOutcome {
  Started = 'started',
  /** The group already has a running move. */
  GroupBusy = 'groupBusy',
  /** The key-value service is unavailable; no move was started. */
  Unavailable = 'unavailable',
  /** The response to the write was lost; the move may have started. */
  Unknown = 'unknown',
}

export interface StartMoveResult {
  readonly outcome: StartMoveOutcome;
  /** Stored record of the group's move, if known. */
  readonly record?: MoveRecord;
  /** Stored entry, if this call has read back the started move. */
  readonly entry?: KeyValueEntry;
  /** Warnings for the operator, such as too few expected requests. */
  readonly warnings: readonly string[];
}

interface StoredMove {
  readonly record: MoveRecord | undefined;
  readonly version: number;
}

/** Starts moves, at most one at a time per group. */
export class MoveStarter {
  constructor(
    private readonly keyValue: KeyValueStore,
    private readonly clock: Clock,
  ) {}

  /** Starts the move. Idempotent: a repeat with the same `moveId` starts it once. */
  async start(
    spec: MoveSpec,
    rates: KindRates,
    deadlineAtMs: number,
  ): Promise<StartMoveResult> {
    const warnings = this.warnings(spec, rates);
    let mayHaveWritten = false;
    try {
      const stored = await this.read(spec.group, deadlineAtMs);
      const existing = existingMoveResult(spec, stored);
      if (existing !== undefined) return { ...existing, warnings };
      const putOutcome = await this.write(spec, stored.version, deadlineAtMs);
      mayHaveWritten = putOutcome !== PutOutcome.Conflict;
      return await this.readBack(spec, warnings, deadlineAtMs);
    } catch (error) {
      const isUnavailable = error instanceof KeyValueUnavailableError;
      if (!isUnavailable && !(error instanceof AnswerLostError)) throw error;
      const outcome = mayHaveWritten
        ? StartMoveOutcome.Unknown
        : StartMoveOutcome.Unavailable;
      return { outcome, warnings };
    }
  }

  private warnings(spec: MoveSpec, rates: KindRates): readonly string[] {
    const expectedCount = expectedRequestCount(spec, rates, this.clock.nowMs());
    if (expectedCount >= MIN_TOTAL_SAMPLE_COUNT) return [];
    return [
      `About ${Math.round(expectedCount)} requests are expected on the new version before the move ends, at the initial share; ${MIN_TOTAL_SAMPLE_COUNT} are needed to compare the versions. Set a later deadline.`,
    ];
  }

  private async read(group: string, deadlineAtMs: number): Promise<StoredMove> {
    const entry = await this.keyValue.get(moveKey(group), deadlineAtMs);
    return {
      record: entry === undefined ? undefined : decodeMoveRecord(entry.value),
      version: entry?.version ?? 0,
    };
  }

  private async write(
    spec: MoveSpec,
    expectedVersion: number,
    deadlineAtMs: number,
  ): Promise<PutOutcome | undefined> {
    try {
      const result = await this.keyValue.put({
        key: moveKey(spec.group),
        value: JSON.stringify(createMoveRecord(spec)),
        expectedVersion,
        deadlineAtMs,
      });
      return result.outcome;
    } catch (error) {
      if (error instanceof AnswerLostError) return undefined;
      throw error;
    }
  }

  /** Reads the group's record after the write; another daemon may have written it. */
  private async readBack(
    spec: MoveSpec,
    warnings: readonly string[],
    deadlineAtMs: number,
  ): Promise<StartMoveResult> {
    const { record, version } = await this.read(spec.group, deadlineAtMs);
    const isRequestedMove = record?.spec.moveId === spec.moveId;
    const isBusy = !isRequestedMove && record?.state === MoveState.Running;
    if (isRequestedMove) {
      const key = moveKey(spec.group);
      const entry = { key, value: JSON.stringify(record), version };
      const outcome = StartMoveOutcome.Started;
      return { outcome, record, entry, warnings };
    }
    const outcome = isBusy
      ? StartMoveOutcome.GroupBusy
      : StartMoveOutcome.Unknown;
    return { outcome, record, warnings };
  }
}

/** Returns the result if the stored record rules out a new move: the same move, or another running one. */
function existingMoveResult(
  spec: MoveSpec,
  { record }: StoredMove,
): Omit<StartMoveResult, 'warnings'> | undefined {
  if (record?.spec.moveId === spec.moveId) {
    return { outcome: StartMoveOutcome.Started, record };
  }
  return record?.state === MoveState.Running
    ? { outcome: StartMoveOutcome.GroupBusy, record }
    : undefined;
}
