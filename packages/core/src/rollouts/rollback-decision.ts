import { z } from 'zod';

const rollbackDecisionSchema = z.object({
  group: z.string().min(1),
  revision: z.number().nonnegative(),
});

/** Decision to roll a group's rollout back, as daemons share it. */
export interface RollbackDecision {
  readonly group: string;
  /** Revision of the store at which the rollout was ordered. */
  readonly revision: number;
}

/** Parses a decision that a peer has shared. Throws `z.ZodError` or `SyntaxError` if this build cannot read it. */
export function parseSharedRollback(text: string): RollbackDecision {
  return rollbackDecisionSchema.parse(JSON.parse(text));
}
