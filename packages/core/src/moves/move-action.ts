import type { Brake, MoveEnding, MoveRecord, MoveSpec } from './move.js';

export enum MoveActionKind {
  /** Write the record by compare-and-swap, then read back the stored one. */
  WriteRecord = 'writeRecord',
  /** Send a rollback decision to the other daemons. */
  SpreadBrake = 'spreadBrake',
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
  | { readonly kind: MoveActionKind.SpreadBrake; readonly brake: Brake }
  | {
      readonly kind: MoveActionKind.ReportEnding;
      readonly spec: MoveSpec;
      readonly ending: MoveEnding;
    };
