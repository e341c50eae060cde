import { z } from 'zod';

const MAX_NAME_LENGTH = 256;
const count = z.int().nonnegative();

/**
 * One daemon's counts of first events within `FIRST_EVENT_WINDOW_MS`, by group: all
 * of them, and those later than the latency objective. Pairs instead of objects
 * keep the message small; groups without first events are absent.
 */
export const firstEventHintsSchema = z.record(
  z.string().min(1).max(MAX_NAME_LENGTH),
  z
    .tuple([count, count])
    .readonly()
    .refine(([total, late]) => late <= total),
);

export type FirstEventHints = Readonly<z.output<typeof firstEventHintsSchema>>;

/** First events of one group, as far as daemons have reported them. */
export interface FirstEventTotals {
  readonly total: number;
  /** Of these, the ones later than the latency objective of their route. */
  readonly late: number;
  /** Daemons that were asked for, and those of them that count first events. */
  readonly daemons: number;
  readonly reportingDaemons: number;
}

/** Sums the counts of a group over daemons; undefined stands for a daemon whose counts are unknown. */
export function sumFirstEvents(
  group: string,
  hints: readonly (FirstEventHints | undefined)[],
): FirstEventTotals {
  let total = 0;
  let late = 0;
  let reportingDaemons = 0;
  for (const each of hints) {
    if (each === undefined) continue;
    reportingDaemons += 1;
    const [ownTotal, ownLate] = each[group] ?? [0, 0];
    total += ownTotal;
    late += ownLate;
  }
  return { total, late, daemons: hints.length, reportingDaemons };
}
