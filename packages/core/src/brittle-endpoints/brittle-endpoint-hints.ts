import { z } from 'zod';

import { readableItems } from '../ports/index.js';

const MAX_TEXT_LENGTH = 256;
/** Maximum number of endpoints in one message. */
export const MAX_SHARED_ENDPOINTS = 256; // about 25 kB

const brittleEndpointSchema = z.object({
  endpointId: z.string().min(1).max(MAX_TEXT_LENGTH),
  /** Start of the endpoint's incarnation in milliseconds since the Unix epoch; 0 if it is not known. */
  bornAtMs: z.number().nonnegative(),
  group: z.string().min(1).max(MAX_TEXT_LENGTH),
  /** Rejections per second from which the endpoint fails; absent if it does not say so any more. */
  maxRejectionsPerSecond: z.number().nonnegative().optional(),
  /** Time since the response that shows it. */
  ageMs: z.number().nonnegative(),
  /** Time since the last rejection that a daemon had of it. */
  rejectionAgeMs: z.number().nonnegative().optional(),
});

/** Brittle endpoints that a daemon knows, in its hints to its peers. */
export const brittleEndpointHintsSchema = readableItems(
  brittleEndpointSchema,
  MAX_SHARED_ENDPOINTS,
);

export type BrittleEndpointHint = Readonly<
  z.output<typeof brittleEndpointSchema>
>;
