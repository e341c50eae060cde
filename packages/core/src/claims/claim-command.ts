import { z } from 'zod';

import { ClaimState } from './claims.js';
import { journalEntrySchema } from './journal-entry.js';

export enum CommandKind {
  Claim = 'claim',
  Settle = 'settle',
}

/** Takes a key for one run. */
const claimSchema = z.object({
  kind: z.literal(CommandKind.Claim),
  key: z.string(),
  entry: journalEntrySchema,
});

/** Records how the run named by `claimId` ended. */
const settleSchema = z.object({
  kind: z.literal(CommandKind.Settle),
  key: z.string(),
  claimId: z.string(),
  state: z.enum([ClaimState.Ran, ClaimState.NotRun, ClaimState.Unknown]),
  response: journalEntrySchema.shape.response,
});

/** A change of one claim. Applying a command twice is the same as applying it once. */
export const claimCommandSchema = z.discriminatedUnion('kind', [
  claimSchema,
  settleSchema,
]);

export type ClaimCommand = Readonly<z.output<typeof claimCommandSchema>>;
export type ClaimKeyCommand = Readonly<z.output<typeof claimSchema>>;
export type SettleCommand = Readonly<z.output<typeof settleSchema>>;

export enum VerdictKind {
  /** The key is held by the run that asked. */
  Granted = 'granted',
  /** Another run holds the key, or held it until it ended. */
  Held = 'held',
  /** The key was used with another body. */
  KeyReused = 'keyReused',
  /** The time for the dispatch has passed, or the run was ended before. */
  Expired = 'expired',
  /** The journal value has no room for another claim. */
  Full = 'full',
  /** The end of the run is on record. */
  Settled = 'settled',
  /** The run does not hold the key, or has another end on record. */
  Ignored = 'ignored',
}

export const claimVerdictSchema = z.object({
  kind: z.enum(VerdictKind),
  /** The entry of the run that holds the key, where `kind` is `Held`. */
  entry: journalEntrySchema.optional(),
});

/** What became of a command. */
export type ClaimVerdict = Readonly<z.output<typeof claimVerdictSchema>>;
