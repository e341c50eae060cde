import { z } from 'zod';

import type { ServiceResponse } from '../ports/index.js';
import { PlatformError } from '../ports/index.js';
import { ClaimState } from './claims.js';

/** A journal value cannot be read; it has to be mended by hand before its shard takes claims. */
export class JournalMalformedError extends PlatformError {}

const responseSchema = z.object({
  status: z.number(),
  contentType: z.string(),
  body: z.string(),
});

/** One claim as a journal value holds it. */
export const journalEntrySchema = z.object({
  /** Name of the run that holds the key; a new run under the key has another. */
  claimId: z.string(),
  state: z.enum(ClaimState),
  bodyHash: z.string(),
  requestId: z.string(),
  /** The run's dispatch may start only before this time. */
  dispatchUntilMs: z.number(),
  /** The run's own deadline; an outcome not recorded by then is unknown. */
  deadlineAtMs: z.number(),
  /** The entry may be dropped after this time. */
  keepUntilMs: z.number(),
  response: responseSchema.optional(),
});

export type JournalEntry = Readonly<z.output<typeof journalEntrySchema>>;

const journalSchema = z.object({
  entries: z.record(z.string(), journalEntrySchema),
});

/** Reads a journal value. Throws `JournalMalformedError`. */
export function decodeJournal(value: string): Map<string, JournalEntry> {
  try {
    const { entries } = journalSchema.parse(JSON.parse(value));
    return new Map(Object.entries(entries));
  } catch (error) {
    throw new JournalMalformedError(
      'A claims journal is malformed; restore its value in the key-value service.',
      { cause: error },
    );
  }
}

export function encodeJournal(
  entries: ReadonlyMap<string, JournalEntry>,
): string {
  return JSON.stringify({ entries: Object.fromEntries(entries) });
}

/** Bytes that the entry takes in its journal value. */
export function entryBytes(key: string, entry: JournalEntry): number {
  return Buffer.byteLength(JSON.stringify({ [key]: entry }));
}

/** Bytes that the response takes in a journal value. */
export function responseBytes(response: ServiceResponse): number {
  return Buffer.byteLength(JSON.stringify(response));
}

/**
 * The state as it can be told at `nowMs`. A claim that may have been
 * dispatched since its record was written counts as dispatched, and as
 * unknown after the run's deadline. Time alone never makes it not run.
 */
export function stateAt(entry: JournalEntry, nowMs: number): ClaimState {
  if (entry.state !== ClaimState.Claimed) return entry.state;
  if (nowMs >= entry.deadlineAtMs) return ClaimState.Unknown;
  return nowMs >= entry.dispatchUntilMs
    ? ClaimState.Dispatched
    : ClaimState.Claimed;
}
