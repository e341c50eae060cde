import { z } from 'zod';

import { ClaimState } from './claims.js';
import { journalEntrySchema } from './journal-entry.js';

export enum CommandKind {
  Claim = 'claim',
  Settle = 'settle',
}

/** Claims a key for one run. */
const claimSchema = z.object({
  kind: z.literal(CommandKind.Claim),
  key: z.string(),
  entry: journalEntrySchema,
});

/** Records the outcome of the run that `claimId` identifies. */
const settleSchema = z.object({
  kind: z.literal(CommandKind.Settle),
  key: z.string(),
  claimId: z.string(),
  state: z.enum([ClaimState.Ran, ClaimState.NotRun, ClaimState.Unknown]),
  response: journalEntrySchema.shape.response,
});

/** A change to one claim. Commands are idempotent: applying one twice has the effect of applying it once. */
export const claimCommandSchema = z.discriminatedUnion('kind', [
  claimSchema,
  settleSchema,
]);

export type ClaimCommand = Readonly<z.output<typeof claimCommandSchema>>;
export type ClaimKeyCommand = Readonly<z.output<typeof claimSchema>>;
export type SettleCommand = Readonly<z.output<typeof settleSchema>>;

export enum CommandResultKind {
  /** The requesting run holds the key. */
  Granted = 'granted',
  /** Another run holds the key, or held it until that run ended. */
  Held = 'held',
  /** The key was already used with another request body. */
  KeyReused = 'keyReused',
  /** The time by which the dispatch had to start has passed, or the run has already ended. */
  Expired = 'expired',
  /** The journal value has no capacity left for another claim. */
  Full = 'full',
  /** The run's outcome is recorded. */
  Settled = 'settled',
  /** The run does not hold the key, or another final outcome is recorded for it. */
  Ignored = 'ignored',
}

export const commandResultSchema = z.object({
  kind: z.enum(CommandResultKind),
  /** Entry of the run that holds the key, present where `kind` is `Held`. */
  entry: journalEntrySchema.optional(),
});

/** Result of applying a command. */
export type CommandResult = Readonly<z.output<typeof commandResultSchema>>;
