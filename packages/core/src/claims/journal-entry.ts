import { z } from 'zod';

import type { ServiceResponse } from '../ports/index.js';
import { PlatformError } from '../ports/index.js';
import { ClaimState } from './claims.js';

/** A journal value cannot be parsed. Its shard accepts no claims until an operator has repaired the value. */
export class JournalMalformedError extends PlatformError {}

const responseSchema = z.object({
  status: z.number(),
  contentType: z.string(),
  body: z.string(),
});

/** One claim as stored in a journal value. */
export const journalEntrySchema = z.object({
  /** Id of the run that holds the key; every new run under the key has a new id. */
  claimId: z.string(),
  state: z.enum(ClaimState),
  bodyHash: z.string(),
  requestId: z.string(),
  /** The run's dispatch must start before this time. */
  dispatchUntilMs: z.number(),
  /** Deadline of the run; an outcome that is not recorded by then counts as unknown. */
  deadlineAtMs: z.number(),
  /** Time after which the entry may be deleted. */
  keepUntilMs: z.number(),
  response: responseSchema.optional(),
});

export type JournalEntry = Readonly<z.output<typeof journalEntrySchema>>;

const journalSchema = z.object({
  entries: z.record(z.string(), journalEntrySchema),
});

/** Parses a journal value. Throws `JournalMalformedError`. */
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

/** Returns the number of bytes that the entry occupies in its journal value. */
export function entrySizeBytes(key: string, entry: JournalEntry): number {
  return Buffer.byteLength(JSON.stringify({ [key]: entry }));
}

/** Returns the number of bytes that the response occupies in a journal value. */
export function responseSizeBytes(response: ServiceResponse): number {
  return Buffer.byteLength(JSON.stringify(response));
}

/**
 * Returns the state of the entry at `nowMs`. A stored claim that may have been
 * dispatched since it was written counts as dispatched, and as unknown after the
 * run's deadline. The passage of time alone never yields `NotRun`.
 */
export function effectiveStateAt(
  entry: JournalEntry,
  nowMs: number,
): ClaimState {
  if (entry.state !== ClaimState.Claimed) return entry.state;
  if (nowMs >= entry.deadlineAtMs) return ClaimState.Unknown;
  return nowMs >= entry.dispatchUntilMs
    ? ClaimState.Dispatched
    : ClaimState.Claimed;
}
