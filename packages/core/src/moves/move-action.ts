import type { Brake, MoveEnding, MoveRecord, MoveSpec } from './move.js';

export enum MoveActionKind {
  /** Write the record by compare-and-swap, then read what is in force. */
  WriteRecord = 'writeRecord',
  /** Tell the other daemons of a brake. */
  SpreadBrake = 'spreadBrake',
  /** Tell operators of an end that is written. */
  ReportEnding = 'reportEnding',
}

/** What a move's controller wants done. */
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
