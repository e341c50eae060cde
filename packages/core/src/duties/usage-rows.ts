import { z } from 'zod';

import type { LifetimeUsage } from './usage-ledger.js';

/** Counts of one lifetime in one window, as they are stored and sent: window, lifetime, counts by workspace. */
export const usageRowSchema = z.tuple([
  z.number().nonnegative(),
  z.string().min(1),
  z.record(z.string(), z.number().nonnegative()),
]);

export type UsageRow = z.output<typeof usageRowSchema>;

export function toUsageRow(usage: LifetimeUsage): UsageRow {
  return [usage.windowId, usage.lifetime, usage.counts];
}

export function fromUsageRow([
  windowId,
  lifetime,
  counts,
]: UsageRow): LifetimeUsage {
  return { windowId, lifetime, counts };
}
