import { z } from 'zod';

/**
 * Key prefix of version moves in the key-value service, one key per group.
 * A version move shifts an endpoint group's requests step by step from one
 * version to another.
 */
export const MOVES_PREFIX = 'moves/';

export enum MoveState {
  Running = 'running',
  /** All requests go to the new version. */
  Done = 'done',
  /** Rolled back: all requests go to the old version again. */
  RolledBack = 'takenBack',
}

/** Why a move was rolled back. */
/** Why a move was rolled back. */
export enum RollbackReason {
  /** The evidence shows that the new version is worse. */
  Evidence = 'evidence',
  /** The move had not completed by its deadline. */
  Deadline = 'deadline',
  /** The new version served too few requests for a comparison. */
  InsufficientEvidence = 'tooLittleEvidence',
  /** An operator stopped the move. */
  Operator = 'operator',
}

/** Aspects of a response in which the versions are compared. */
export enum Signal {
  /** Error, unexpected status or aborted stream. */
  Failure = 'failure',
  SlowFirstToken = 'slowFirstToken',
  SlowTokens = 'slowTokens',
}

export const SIGNALS: readonly Signal[] = Object.values(Signal);

/** Specification of a move, as requested by an operator. */
export const moveSpecSchema = z.object({
  moveId: z.string().min(1),
  /** Endpoint group whose version changes. */
  group: z.string().min(1),
  fromVersion: z.string().min(1),
  toVersion: z.string().min(1),
  /** Request kinds of the group whose requests are shifted. */
  kinds: z.array(z.string().min(1)).min(1),
  /** Kinds whose requests are not safe to repeat (non-idempotent); they move last. */
  cautiousKinds: z.array(z.string()),
  startedAtMs: z.number(),
  /** Time by which the move has completed or is rolled back. */
  deadlineAtMs: z.number(),
  /** Who requested the move, and why. */
  reason: z.string().min(1),
});

export type MoveSpec = Readonly<z.output<typeof moveSpecSchema>>;

/** Statistical finding that led to a rollback. */
export const findingSchema = z.object({
  /** Request kind with the regression; undefined if it shows only over all kinds combined. */
  kind: z.string().optional(),
  signal: z.enum(Signal),
  /** Natural logarithm of the evidence against the new version. */
  logEvidence: z.number(),
  newCount: z.number(),
  newEvents: z.number(),
  oldCount: z.number(),
  oldEvents: z.number(),
});

export type Finding = Readonly<z.output<typeof findingSchema>>;

/** Number of rollback decisions that one message between daemons may contain. */
export const MAX_EXCHANGED_ROLLBACKS = 100;

/** Decision to roll a move back; final for that move. Appears as `brake` in messages and metrics. */
export const rollbackDecisionSchema = z.object({
  moveId: z.string(),
  group: z.string(),
  /** Daemon that decided. */
  daemonId: z.string(),
  /** Time of the decision. */
  pulledAtMs: z.number(),
  reason: z.enum(RollbackReason),
  finding: findingSchema.optional(),
});

export type RollbackDecision = Readonly<
  z.output<typeof rollbackDecisionSchema>
>;

/** Final outcome of a move. */
export const moveEndingSchema = z.object({
  state: z.enum([MoveState.Done, MoveState.RolledBack]),
  endedAtMs: z.number(),
  reason: z.enum(RollbackReason).optional(),
  finding: findingSchema.optional(),
  /** Reported requests that the new version served. */
  newRequests: z.number(),
  /** Kinds with too few requests on the new version for a verdict of their own. */
  unprovedKinds: z.array(z.string()),
});

export type MoveEnding = Readonly<z.output<typeof moveEndingSchema>>;

/** Traffic share of the new version for one kind, and the number of requests it is based on. */
export const kindProgressSchema = z.object({
  kind: z.string(),
  /** From 0 to 1. */
  share: z.number(),
  /** Requests that the new version served. */
  newCount: z.number(),
});

export type KindProgress = Readonly<z.output<typeof kindProgressSchema>>;

/** Stored record of a group's newest move. */
export const moveRecordSchema = z.object({
  spec: moveSpecSchema,
  state: z.enum(MoveState),
  progress: z.array(kindProgressSchema),
  ending: moveEndingSchema.optional(),
});

export type MoveRecord = Readonly<z.output<typeof moveRecordSchema>>;

/** Returns the key of a group's move record. */
export function moveKey(group: string): string {
  return `${MOVES_PREFIX}${group}`;
}

/** Decodes a stored record; returns undefined if the value is invalid. */
export function decodeMoveRecord(value: string): MoveRecord | undefined {
  try {
    return moveRecordSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}

/** Returns the initial record of a move, with all shares at 0. */
export function createMoveRecord(spec: MoveSpec): MoveRecord {
  return {
    spec,
    state: MoveState.Running,
    progress: spec.kinds.map(kind => ({ kind, share: 0, newCount: 0 })),
  };
}
