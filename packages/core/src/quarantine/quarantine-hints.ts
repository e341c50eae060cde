import { z } from 'zod';

export const MAX_PART_ID_LENGTH = 256;
/** Maximum number of crashes in one message. */
export const MAX_SHARED_CRASHES = 32; // bounds a message; a few crashes decide
export const MAX_PARTS_PER_PROMPT = 64;
export const MAX_BLOCKED_PARTS = 64;

const text = z.string().min(1).max(MAX_PART_ID_LENGTH);
const ageMs = z.number().nonnegative();

const crashSchema = z.object({
  endpointId: text,
  /** Prompt parts of a request that was in flight, without the last one. */
  partIds: z.array(text).max(MAX_PARTS_PER_PROMPT),
  ageMs,
});

const partAgeSchema = z.object({ partId: text, ageMs });

const blockedPartSchema = z.object({ partId: text, remainingMs: ageMs });

/** What a daemon knows of prompt parts that crash endpoints, in its hints to its peers. */
export const quarantineHintsSchema = z.object({
  crashes: z.array(crashSchema).max(MAX_SHARED_CRASHES),
  /** Time since a request with the part was last completed, for the parts of the crashes. */
  completed: z.array(partAgeSchema),
  blocked: z.array(blockedPartSchema).max(MAX_BLOCKED_PARTS),
});

export type QuarantineHints = Readonly<z.output<typeof quarantineHintsSchema>>;
