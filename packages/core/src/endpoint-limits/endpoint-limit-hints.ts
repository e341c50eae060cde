import { z } from 'zod';

import { readableItems } from '../ports/index.js';

const MAX_ID_LENGTH = 256;
/** Maximum number of endpoints in one message. */
export const MAX_SHARED_LIMITS = 256; // about 20 kB

const endpointLimitSchema = z.object({
  endpointId: z.string().min(1).max(MAX_ID_LENGTH),
  /** Start of the endpoint's incarnation in milliseconds since the Unix epoch; 0 if it is not known. */
  bornAtMs: z.number().nonnegative(),
  /** Requests per second for all daemons together; absent if the endpoint names no limit any more. */
  limitPerSecond: z.number().nonnegative().optional(),
  /** Time since the response that shows it. */
  ageMs: z.number().nonnegative(),
});

/** Rate limits of endpoints that a daemon knows, in its hints to its peers. */
export const endpointLimitHintsSchema = readableItems(
  endpointLimitSchema,
  MAX_SHARED_LIMITS,
);

export type EndpointLimitHint = Readonly<z.output<typeof endpointLimitSchema>>;
