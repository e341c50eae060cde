import { z } from 'zod';

import { FencingCheck } from '@skylarkreach/core/fleet';
import { EngineOrderKind } from '@skylarkreach/core/ports';

const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;

const durationMs = z.int().positive();
const name = z.string().min(1);

const machineClassSchema = z.strictObject({
  name,
  capacityTokensPerSecond: z.number().positive(),
});

const loadSchema = z.strictObject({
  kind: z.enum(EngineOrderKind),
  target: name,
  weightBytes: z.number().nonnegative().default(0),
  neededTokensPerSecond: z.number().nonnegative().default(0),
});

/** Schema of the settings of one fleet: the instances that serve one group of endpoints. */
export const fleetSettingsSchema = z.strictObject({
  name,
  group: name,
  classes: z.array(machineClassSchema).min(1),
  dataCentres: z
    .array(name)
    .min(2, 'at least two data centres, so that one can be lost'),
  promisedTokensPerSecond: z.number().positive(),
  fencing: z.enum(FencingCheck),
  storeBytesPerSecond: z.number().positive(),
  loads: z.array(loadSchema).default([]),
  headroomFactor: z.number().min(1).default(1.15),
  peakHoldMs: durationMs.default(15 * MINUTE_MS),
  settleDelayMs: durationMs.default(5 * MINUTE_MS),
  drainMs: durationMs.default(2 * MINUTE_MS),
  readyTimeoutMs: durationMs.default(10 * MINUTE_MS),
  refusalBackoffMs: durationMs.default(15 * SECOND_MS),
  maxRefusalBackoffMs: durationMs.default(4 * MINUTE_MS),
  reclaimPauseMs: durationMs.default(5 * MINUTE_MS),
  effectTimeoutMs: durationMs.default(10 * MINUTE_MS),
});

export type FleetSettings = z.output<typeof fleetSettingsSchema>;
