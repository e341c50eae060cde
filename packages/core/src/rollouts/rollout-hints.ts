import { z } from 'zod';

import { kindEvidenceSchema } from '../moves/index.js';

/** Where a rollout stands. Later values go before earlier ones. */
export enum RolloutPhase {
  /** A small share of the requests tries the new version. */
  Trial = 'trial',
  /** All requests go to the new version, before it is said to have succeeded. */
  Switching = 'switching',
  RolledBack = 'rolledBack',
  Succeeded = 'succeeded',
}

const PHASE_ORDER: readonly RolloutPhase[] = [
  RolloutPhase.Trial,
  RolloutPhase.Switching,
  RolloutPhase.RolledBack,
  RolloutPhase.Succeeded,
];

/** The phase that goes before the other. */
export function laterPhase(
  left: RolloutPhase,
  right: RolloutPhase,
): RolloutPhase {
  const isLater = PHASE_ORDER.indexOf(left) >= PHASE_ORDER.indexOf(right);
  return isLater ? left : right;
}

/** What one daemon tells others of a rollout. */
export const rolloutHintsSchema = z.object({
  group: z.string().min(1),
  /** Revision of the store at which the order was given. */
  revision: z.number().nonnegative(),
  /** Time since the daemon, or one that it heard of, learnt of the order. */
  ageMs: z.number().nonnegative(),
  phase: z.enum(RolloutPhase),
  /** All that the daemon has seen since the order. */
  evidence: z.array(kindEvidenceSchema),
});

export type RolloutHints = Readonly<z.output<typeof rolloutHintsSchema>>;
