import type { Clock, KeyValue, KeyValueEntry } from '../ports/index.js';
import {
  AnswerLostError,
  KeyValueUnavailableError,
  PutOutcome,
} from '../ports/index.js';
import type { MoveRecord, MoveSpec } from './move.js';
import { decodeMoveRecord, moveKey, MoveState, startRecord } from './move.js';
import type { KindRates } from './share-plan.js';
import { expectedCount, MIN_JUDGED_COUNT } from './share-plan.js';

export enum StartMoveOutcome {
  Started = 'started',
  /** The group has a move that has not ended. */
  GroupBusy = 'groupBusy',
  /** The key-value service gave no answer; nothing was started. */
  Unavailable = 'unavailable',
  /** The move may have started; its write's answer was lost. */
  Unknown = 'unknown',
}

export interface StartMoveResult {
  readonly outcome: StartMoveOutcome;
  /** The move in force for the group, where it is known. */
  readonly record?: MoveRecord;
  /** The stored record where this call started the move. */
  readonly entry?: KeyValueEntry;
  /** What the operator should know about the move's chances. */
  readonly warnings: readonly string[];
}

interface StoredMove {
  readonly record: MoveRecord | undefined;
  readonly version: number;
}

/** Starts moves; a group has one at a time. */
export class MoveStarter {
  constructor(
    private readonly keyValue: KeyValue,
    private readonly clock: Clock,
  ) {}

  /** Starts the move; a repeat under the same `moveId` starts it once. */
  async start(
    spec: MoveSpec,
    rates: KindRates,
    deadlineAtMs: number,
  ): Promise<StartMoveResult> {
    const warnings = this.warnings(spec, rates);
    let mayBeWritten = false;
    try {
      const stored = await this.read(spec.group, deadlineAtMs);
      const refused = refusal(spec, stored);
      if (refused !== undefined) return { ...refused, warnings };
      const written = await this.write(spec, stored.version, deadlineAtMs);
      mayBeWritten = written !== PutOutcome.Conflict;
      return await this.readBack(spec, warnings, deadlineAtMs);
    } catch (error) {
      const isDown = error instanceof KeyValueUnavailableError;
      if (!isDown && !(error instanceof AnswerLostError)) throw error;
      const outcome = mayBeWritten
        ? StartMoveOutcome.Unknown
        : StartMoveOutcome.Unavailable;
      return { outcome, warnings };
    }
  }

  private warnings(spec: MoveSpec, rates: KindRates): readonly string[] {
    const expected = expectedCount(spec, rates, this.clock.nowMs());
    if (expected >= MIN_JUDGED_COUNT) return [];
    return [
      `About ${Math.round(expected)} requests reach the new version before the end at the first share; ${MIN_JUDGED_COUNT} are needed to judge it. Set a later deadline.`,
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
        value: JSON.stringify(startRecord(spec)),
        expectedVersion,
        deadlineAtMs,
      });
      return result.outcome;
    } catch (error) {
      if (error instanceof AnswerLostError) return undefined;
      throw error;
    }
  }

  /** Says what the group's key holds after the write, whoever wrote it. */
  private async readBack(
    spec: MoveSpec,
    warnings: readonly string[],
    deadlineAtMs: number,
  ): Promise<StartMoveResult> {
    const { record, version } = await this.read(spec.group, deadlineAtMs);
    const isOurs = record?.spec.moveId === spec.moveId;
    const isBusy = !isOurs && record?.state === MoveState.Running;
    if (isOurs) {
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

function refusal(
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
