import { Priority } from '@skylarkreach/core/ports';

import type { WorkloadShape } from './workload.js';

/** Few large workspaces with long shared ledger prefixes and drafts. */
const KOWHAI: WorkloadShape = {
  name: 'kowhai',
  engines: 6,
  cacheTokens: 98_304,
  requestsPerSecond: 9,
  durationMs: 240_000,
  workspaceShares: [0.35, 0.3, 0.2, 0.1, 0.05],
  systemTokens: 512,
  documents: 60,
  documentTokens: { min: 3_000, max: 8_000 },
  requestsPerDocument: { min: 10, max: 60 },
  kinds: [
    {
      kind: 'review',
      priority: Priority.Draft,
      share: 0.3,
      questionTokens: { min: 80, max: 200 },
      outputTokens: { min: 300, max: 600 },
      deadlineMs: 60_000,
    },
    {
      kind: 'coding',
      priority: Priority.Standard,
      share: 0.5,
      questionTokens: { min: 40, max: 120 },
      outputTokens: { min: 40, max: 120 },
      deadlineMs: 15_000,
    },
    {
      kind: 'classification',
      priority: Priority.Lookup,
      share: 0.2,
      questionTokens: { min: 20, max: 60 },
      outputTokens: { min: 4, max: 10 },
      deadlineMs: 3_000,
    },
  ],
};

/** Many short look-ups from tills, often several for the same contract. */
const LUMELA: WorkloadShape = {
  name: 'lumela',
  engines: 8,
  cacheTokens: 65_536,
  requestsPerSecond: 90,
  durationMs: 90_000,
  workspaceShares: [0.3, 0.25, 0.2, 0.15, 0.1],
  systemTokens: 256,
  documents: 400,
  documentTokens: { min: 300, max: 700 },
  requestsPerDocument: { min: 1, max: 8 },
  kinds: [
    {
      kind: 'till',
      priority: Priority.Lookup,
      share: 0.7,
      questionTokens: { min: 10, max: 40 },
      outputTokens: { min: 8, max: 24 },
      deadlineMs: 3_000,
    },
    {
      kind: 'arrears',
      priority: Priority.Standard,
      share: 0.25,
      questionTokens: { min: 20, max: 60 },
      outputTokens: { min: 40, max: 100 },
      deadlineMs: 10_000,
    },
    {
      kind: 'report',
      priority: Priority.Draft,
      share: 0.05,
      questionTokens: { min: 100, max: 200 },
      outputTokens: { min: 150, max: 300 },
      deadlineMs: 30_000,
    },
  ],
};

/** Workload shapes, one per deployment. */
export const SHAPES: readonly WorkloadShape[] = [KOWHAI, LUMELA];
