import { z } from 'zod';

import { address, durationMs, LogLevel } from './fields.js';
import { machineSettingsSchema } from './machine-settings.js';

/** Schema of the `gateway` section of a settings file, for a daemon that serves as a platform's gateway. */
export const gatewaySettingsSchema = z.strictObject({
  identity: z.strictObject({
    daemonId: z.string().min(1),
    dataCentre: z.string().min(1),
    /** Whether the whole system starts for the first time. */
    isFirstStart: z.boolean().default(false),
  }),
  listen: z.strictObject({
    callers: address,
    /** Address of the readiness check that the load balancer calls. */
    readiness: address,
    readinessPath: z.string().startsWith('/').default('/ready'),
    operators: address,
    peers: address,
    metrics: address,
  }),
  platform: z.strictObject({
    storeAddress: address,
    cloudAddress: address,
    /** Operators' addresses of some daemons, to join through; they may be stale. */
    seeds: z.array(address).default([]),
  }),
  /** Secret that the daemons of one deployment sign their messages with. */
  peerSecret: z.string().min(16, 'a text of at least 16 characters'),
  telemetry: z
    .strictObject({ logLevel: z.enum(LogLevel).default(LogLevel.Info) })
    .prefault({}),
  /** Bounds that the platform sets for the system. */
  bounds: z
    .strictObject({
      /** Maximum time from a change of the configuration until it is in force. */
      configurationMs: durationMs.default(2_000),
      /** Maximum time from when an endpoint starts to leave until it receives no new requests. */
      drainMs: durationMs.default(2_000),
      /** Time from SIGTERM until the process is killed. */
      gracePeriodSeconds: z.number().positive().default(8),
      leaseMs: durationMs.default(3_000),
      /** Maximum retries of a group, as a share of its requests. */
      repeatShare: z.number().nonnegative().default(0.2),
      /** Retries that a group may have in addition to its share, over all daemons. */
      repeatSlack: z.number().nonnegative().default(50),
      /** Span in which retries and requests are counted. */
      repeatWindowSeconds: z.number().positive().default(10),
      /** Maximum that all daemons together may grant beyond a workspace's allowance: a share of its rate, plus a number of tokens. */
      allowanceRateShare: z.number().nonnegative().default(0),
      allowanceTokens: z.number().nonnegative().default(0),
      usageWindowSeconds: z.number().positive().default(5),
      /** Time from the end of a window until its usage report is due. */
      usageDueSeconds: z.number().positive().default(10),
      /** Maximum share of a group's requests that a canary version may receive. */
      exposureShare: z.number().nonnegative().default(0.1),
      /** Requests that a canary version may receive in addition to its share. */
      exposureSlack: z.number().nonnegative().default(50),
    })
    .prefault({}),
  callers: machineSettingsSchema,
  routing: z
    .strictObject({
      /** Prompt tokens that an engine processes per millisecond (prefill). */
      prefillTokensPerMs: z.number().positive().default(90),
    })
    .prefault({}),
});

export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;
