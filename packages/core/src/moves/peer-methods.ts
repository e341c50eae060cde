import { z } from 'zod';

import { definePeerMethod } from '../ports/index.js';
import { evidenceReportSchema } from './evidence.js';
import { brakeSchema } from './move.js';

const entrySchema = z.object({
  key: z.string(),
  value: z.string(),
  version: z.number(),
});

/**
 * Brings a daemon's evidence to a coordinator. The answer carries the brake, if
 * one is known, and the record where it is newer than the daemon's, so that
 * only coordinators read a running move from the key-value service.
 */
export const reportMethod = definePeerMethod(
  'moves.report',
  z.object({ report: evidenceReportSchema, recordVersion: z.number() }),
  z.object({ brake: brakeSchema.optional(), entry: entrySchema.optional() }),
);

/** Tells a daemon of brakes and learns of those that it knows. */
export const brakesMethod = definePeerMethod(
  'moves.brakes',
  z.object({ brakes: z.array(brakeSchema).max(100) }),
  z.object({ brakes: z.array(brakeSchema).max(100) }),
);

/** Brings the record of a move that has just started to a daemon. */
export const recordMethod = definePeerMethod(
  'moves.record',
  z.object({ entry: entrySchema }),
  z.object({}),
);
