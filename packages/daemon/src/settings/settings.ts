import { z } from 'zod';

import { address, durationMs, LogLevel } from './fields.js';
import { fleetSettingsSchema } from './fleet-settings.js';
import { machineSettingsSchema } from './machine-settings.js';

const sha256 = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'a SHA-256 digest as 64 hexadecimal digits');

const secret = z.string().min(16, 'a secret of at least 16 characters');

const tokenSchema = z.strictObject({
  workspace: z.string().min(1),
  sha256,
});

const operatorSchema = z.strictObject({ name: z.string().min(1), sha256 });

const serviceSchema = z.strictObject({
  group: z.string().min(1),
  /** Whether the service deduplicates requests by `Idempotency-Key` across all its endpoints. */
  deduplicatesByKey: z.boolean().default(false),
  /** Whether the service answers `GET /v1/outcomes/{key}`. */
  answersOutcomes: z.boolean().default(false),
});

const resumeKeySchema = z.strictObject({
  id: z.string().regex(/^\w{1,16}$/, '1 to 16 letters, digits or underscores'),
  secret,
});

/** Schema of the settings file of one daemon. */
export const settingsSchema = z.strictObject({
  identity: z.strictObject({
    daemonId: z.string().min(1),
    dataCentre: z.string().min(1),
    /** Instance that the daemon runs on; identifies the reclaim notices that concern it. */
    instanceId: z.string().min(1).optional(),
  }),
  listen: z.strictObject({
    callers: address,
    operators: address,
    peers: address,
  }),
  /** URL at which callers reach this daemon; defaults to the callers' address. */
  callerUrl: z.url().optional(),
  platform: z.strictObject({
    keyValueAddress: address,
    cloudAddress: address,
    token: secret,
  }),
  telemetry: z
    .strictObject({
      statsdAddress: address.optional(),
      logLevel: z.enum(LogLevel).default(LogLevel.Info),
    })
    .prefault({}),
  credentials: z.strictObject({
    workspaces: z.array(tokenSchema).min(1),
    operators: z.array(operatorSchema).min(1),
    peerSecret: secret,
    /** Keys of resume tokens: the first one signs, all of them verify. */
    resumeKeys: z.array(resumeKeySchema).min(1).optional(),
  }),
  handOff: z.strictObject({ marginMs: durationMs.default(1_000) }).prefault({}),
  limits: z
    .strictObject({
      maxBodyBytes: z.int().positive().default(1_000_000),
      bodyTimeoutMs: durationMs.default(10_000),
      maxHeaderBytes: z.int().positive().default(16_384),
      maxTokens: z.int().positive().default(32_768),
      /** Time until the deadline of a request that sets none. */
      defaultDeadlineMs: durationMs.default(60_000),
    })
    .prefault({}),
  callers: machineSettingsSchema,
  claims: z
    .strictObject({
      retentionMs: durationMs.default(86_400_000),
      /** Number of journal shards. Must be the same at every daemon and must not be changed later. */
      shards: z.int().positive().max(10_000).default(32),
      writesPerSecond: z.int().positive().default(200),
      maxResponseBytes: z.int().nonnegative().max(100_000).default(2_000),
    })
    .prefault({}),
  /** Plain services that support `Idempotency-Key`. */
  services: z.array(serviceSchema).default([]),
  /** Fleets that the daemon holding the lease plans; none by default. */
  fleet: z.array(fleetSettingsSchema).default([]),
});

export type Settings = z.output<typeof settingsSchema>;
