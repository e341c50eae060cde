import { z } from 'zod';

import { readableItems } from '../ports/index.js';

export const MAX_SUSPECT_ID_LENGTH = 256;
/** Maximum number of crashes in one message. */
export const MAX_SHARED_CRASHES = 32; // bounds a message; a few crashes decide
export const MAX_IDS_PER_REQUEST = 64;
export const MAX_BLOCKED_IDS = 64;

const text = z.string().min(1).max(MAX_SUSPECT_ID_LENGTH);
const ageMs = z.number().nonnegative();

const crashSchema = z.object({
  endpointId: text,
  /** Ids of the prompt parts of a request that was in flight, without the last one, and of the request itself. */
  partIds: z.array(text).max(MAX_IDS_PER_REQUEST),
  ageMs,
  /** Time from sending the request to the crash; absent in hints of daemons that do not know it. */
  inFlightMs: ageMs.optional(),
  /** Whether the endpoint has completed a request that was sent to it right after the supposed crash; absent if not. */
  isRefuted: z.boolean().optional(),
});

const partAgeSchema = z.object({ partId: text, ageMs });

const blockedPartSchema = z.object({ partId: text, remainingMs: ageMs });

/** What a daemon knows of prompt parts and requests that crash endpoints, in its hints to its peers. */
export const quarantineHintsSchema = z.object({
  crashes: readableItems(crashSchema, MAX_SHARED_CRASHES),
  /** Time since a request with the id was last completed, for the ids of the crashes. */
  completed: readableItems(partAgeSchema),
  blocked: readableItems(blockedPartSchema, MAX_BLOCKED_IDS),
});

export type QuarantineHints = Readonly<z.output<typeof quarantineHintsSchema>>;
