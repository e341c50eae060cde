import { z } from 'zod';

/** Prefix of the keys under which version moves are recorded, one key a group. */
export const MOVES_PREFIX = 'moves/';

export enum MoveState {
  Running = 'running',
  /** The new version takes everything. */
  Done = 'done',
  /** The old version takes everything again. */
  TakenBack = 'takenBack',
}

export enum TakeBackReason {
  /** The evidence shows the new version to be worse. */
  Evidence = 'evidence',
  /** The move was not done by its deadline. */
  Deadline = 'deadline',
  /** Too few requests reached the new version to judge it. */
  TooLittleEvidence = 'tooLittleEvidence',
  /** An operator stopped the move. */
  Operator = 'operator',
}

/** What of an answer can be bad. */
export enum Signal {
  /** Error, wrong status or broken stream. */
  Failure = 'failure',
  SlowFirstToken = 'slowFirstToken',
  SlowTokens = 'slowTokens',
}

export const SIGNALS: readonly Signal[] = Object.values(Signal);

/** What an operator asks for. */
export const moveSpecSchema = z.object({
  moveId: z.string().min(1),
  /** Endpoint group whose version changes. */
  group: z.string().min(1),
  fromVersion: z.string().min(1),
  toVersion: z.string().min(1),
  /** Kinds of request that the group serves. */
  kinds: z.array(z.string().min(1)).min(1),
  /** Kinds whose calls may not be repeated; they move last. */
  cautiousKinds: z.array(z.string()),
  startedAtMs: z.number(),
  /** The move is done or taken back by this time. */
  deadlineAtMs: z.number(),
  /** Who asked for the move and why. */
  reason: z.string().min(1),
});

export type MoveSpec = Readonly<z.output<typeof moveSpecSchema>>;

/** The finding that a brake was pulled on. */
export const findingSchema = z.object({
  /** Kind of request that it shows on, or undefined where it shows on all together. */
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

/** Decision to take a move back; final for that move. */
export const brakeSchema = z.object({
  moveId: z.string(),
  group: z.string(),
  daemonId: z.string(),
  pulledAtMs: z.number(),
  reason: z.enum(TakeBackReason),
  finding: findingSchema.optional(),
});

export type Brake = Readonly<z.output<typeof brakeSchema>>;

/** How a move ended. */
export const endingSchema = z.object({
  state: z.enum([MoveState.Done, MoveState.TakenBack]),
  endedAtMs: z.number(),
  reason: z.enum(TakeBackReason).optional(),
  finding: findingSchema.optional(),
  /** Requests that the new version answered, as far as they were reported. */
  newRequests: z.number(),
  /** Kinds with too few requests to be judged by themselves. */
  unprovedKinds: z.array(z.string()),
});

export type MoveEnding = Readonly<z.output<typeof endingSchema>>;

/** Share of one kind's requests that goes to the new version, and the evidence behind it. */
export const kindProgressSchema = z.object({
  kind: z.string(),
  /** From 0 to 1. */
  share: z.number(),
  newCount: z.number(),
});

export type KindProgress = Readonly<z.output<typeof kindProgressSchema>>;

/** What the key of a group holds: its newest move. */
export const moveRecordSchema = z.object({
  spec: moveSpecSchema,
  state: z.enum(MoveState),
  progress: z.array(kindProgressSchema),
  ending: endingSchema.optional(),
});

export type MoveRecord = Readonly<z.output<typeof moveRecordSchema>>;

/** Key of a group's move. */
export function moveKey(group: string): string {
  return `${MOVES_PREFIX}${group}`;
}

/** Reads a stored record; undefined where the value is none. */
export function decodeMoveRecord(value: string): MoveRecord | undefined {
  try {
    return moveRecordSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}

/** Record of a move that starts, with no request on the new version yet. */
export function startRecord(spec: MoveSpec): MoveRecord {
  return {
    spec,
    state: MoveState.Running,
    progress: spec.kinds.map(kind => ({ kind, share: 0, newCount: 0 })),
  };
}
