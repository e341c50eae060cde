import { z } from 'zod';

import { definePeerMethod } from '../ports/index.js';
import { evidenceReportSchema } from './evidence.js';
import { MAX_EXCHANGED_ROLLBACKS, rollbackDecisionSchema } from './move.js';

const entrySchema = z.object({
  key: z.string(),
  value: z.string(),
  version: z.number(),
});

const rollbacksSchema = z.object({
  brakes: z.array(rollbackDecisionSchema).max(MAX_EXCHANGED_ROLLBACKS),
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
  rollbacksSchema,
  rollbacksSchema,
);

/** Sends the record of a move that has just started to a daemon. */
export const announceRecordMethod = definePeerMethod(
  'moves.record',
  z.object({ entry: entrySchema }),
  z.object({}),
);
