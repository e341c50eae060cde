import { z } from 'zod';

import { definePeerMethod } from '../ports/index.js';
import { evidenceReportSchema } from './evidence.js';
import { rollbackDecisionSchema } from './move.js';

const entrySchema = z.object({
  key: z.string(),
  value: z.string(),
  version: z.number(),
});

/**
 * Reports a daemon's evidence to a coordinator. The response contains the
 * rollback decision, if one is known, and the record if it is newer than the
 * daemon's, so that only coordinators poll the key-value service for a running
 * move.
 */
export const reportEvidenceMethod = definePeerMethod(
  'moves.report',
  z.object({ report: evidenceReportSchema, recordVersion: z.number() }),
  z.object({
    brake: rollbackDecisionSchema.optional(),
    entry: entrySchema.optional(),
  }),
);

/** Sends the known rollback decisions to a daemon; the response contains those that it knows. */
export const exchangeRollbacksMethod = definePeerMethod(
  'moves.brakes',
  z.object({ brakes: z.array(rollbackDecisionSchema).max(100) }),
  z.object({ brakes: z.array(rollbackDecisionSchema).max(100) }),
);

/** Sends the record of a move that has just started to a daemon. */
export const announceRecordMethod = definePeerMethod(
  'moves.record',
  z.object({ entry: entrySchema }),
  z.object({}),
);
