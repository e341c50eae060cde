import { z } from 'zod';

import type { EndpointLoad } from '../forwarding/index.js';
import { definePeerMethod } from '../ports/index.js';
import { rolloutHintsSchema } from '../rollouts/index.js';

const MAX_TEXT = 256;
const text = z.string().min(1).max(MAX_TEXT);
const count = z.number().nonnegative();

const workSchema: z.ZodType<EndpointLoad> = z.object({
  running: count,
  backlogTokens: count,
});

const windowUsageSchema = z.object({
  windowId: count,
  /** Requests that endpoints began to run, by workspace. */
  counts: z.record(text, count),
});

/** What one daemon tells others of itself. It replaces all that the same lifetime told before. */
const daemonHintsSchema = z.object({
  daemonId: text,
  /** Names one start of the daemon's process. */
  lifetime: text,
  /** Rises with every message of the lifetime. */
  sequence: count,
  /** Time since the process started. */
  ageMs: count,
  /** The sender's time of day in milliseconds since the Unix epoch. */
  wallMs: z.number(),
  work: z.record(text, workSchema),
  grantedTokens: z.record(text, count),
  usage: z.array(windowUsageSchema),
  /** Time since the sender last began a read of the endpoints that succeeded. */
  endpointReadAgeMs: count.optional(),
  /** Version of the list of endpoints that the sender has. */
  endpointsVersion: count,
  rollouts: z.array(rolloutHintsSchema),
  /** The sender holds the duties towards the platform. */
  holdsDuties: z.boolean(),
});

export type WindowUsage = Readonly<z.output<typeof windowUsageSchema>>;
export type DaemonHints = Readonly<z.output<typeof daemonHintsSchema>>;

/** Two daemons tell one another their hints. */
export const exchangeHintsMethod = definePeerMethod(
  'hints.exchange',
  daemonHintsSchema,
  daemonHintsSchema,
);
