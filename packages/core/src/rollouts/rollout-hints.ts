import { z } from 'zod';

import { kindEvidenceSchema } from '../moves/index.js';

/** Phase of a rollout. Where daemons disagree, `mergePhases` picks the phase that prevails. */
export enum RolloutPhase {
  /** The new version is the canary: it gets a small share of the requests. */
  Canary = 'trial',
  /** All requests go to the new version, whose success is not yet recorded. */
  Switching = 'switching',
  RolledBack = 'rolledBack',
  Succeeded = 'succeeded',
}

/** Phases in ascending precedence. */
const PHASE_PRECEDENCE: readonly RolloutPhase[] = [
  RolloutPhase.Canary,
  RolloutPhase.Switching,
  RolloutPhase.RolledBack,
  RolloutPhase.Succeeded,
];

/** Returns the phase with the higher precedence. */
export function mergePhases(
  left: RolloutPhase,
  right: RolloutPhase,
): RolloutPhase {
  const isLeftHigher =
    PHASE_PRECEDENCE.indexOf(left) >= PHASE_PRECEDENCE.indexOf(right);
  return isLeftHigher ? left : right;
}

/** State of one rollout in a daemon's hints to its peers. */
export const rolloutHintsSchema = z.object({
  group: z.string().min(1),
  /** Revision of the store at which the rollout was ordered. */
  revision: z.number().nonnegative(),
  /** Time since the daemon, or a peer it has hints from, first read the order. */
  ageMs: z.number().nonnegative(),
  phase: z.enum(RolloutPhase),
  /** All evidence that the daemon itself has collected since the order. */
  evidence: z.array(kindEvidenceSchema),
});

export type RolloutHints = Readonly<z.output<typeof rolloutHintsSchema>>;
