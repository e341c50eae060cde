import { z } from 'zod';

import { readableItems } from '../ports/index.js';

const MAX_ID_LENGTH = 256;
/** Maximum number of endpoints in one message. */
export const MAX_SHARED_ENDPOINTS = 256; // about 20 kB

const coldEndpointSchema = z.object({
  endpointId: z.string().min(1).max(MAX_ID_LENGTH),
  /** Start of the endpoint's incarnation in milliseconds since the Unix epoch; 0 if it is not known. */
  bornAtMs: z.number().nonnegative(),
  /**
   * End of the cold time in milliseconds since the Unix epoch, by the clock on which
   * most daemons agree. A remaining time would grow with each daemon that passes it on.
   */
  coldUntilMs: z.number().nonnegative(),
});

/** Endpoints that a daemon knows to be cold, in its hints to its peers. */
export const coldEndpointHintsSchema = readableItems(
  coldEndpointSchema,
  MAX_SHARED_ENDPOINTS,
);

export type ColdEndpointHint = Readonly<z.output<typeof coldEndpointSchema>>;
