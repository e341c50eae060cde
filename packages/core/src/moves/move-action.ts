import type {
  MoveEnding,
  MoveRecord,
  MoveSpec,
  RollbackDecision,
} from './move.js';

export enum MoveActionKind {
  /** Write the record by compare-and-swap, then read back the stored one. */
  WriteRecord = 'writeRecord',
  /** Send a rollback decision to the other daemons. */
  BroadcastRollback = 'spreadBrake',
  /** Report a stored ending in the log and the metrics. */
  ReportEnding = 'reportEnding',
}

/** Side effect that a move's controller requests. */
export type MoveAction =
  | {
      readonly kind: MoveActionKind.WriteRecord;
      readonly record: MoveRecord;
      readonly expectedVersion: number;
    }
  | {
      readonly kind: MoveActionKind.BroadcastRollback;
      readonly rollback: RollbackDecision;
    }
  | {
      readonly kind: MoveActionKind.ReportEnding;
      readonly spec: MoveSpec;
      readonly ending: MoveEnding;
    };
