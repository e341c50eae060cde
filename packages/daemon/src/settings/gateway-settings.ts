import { z } from 'zod';

import { address, durationMs, LogLevel } from './fields.js';

/** Settings of a daemon that serves a platform's entry, as its YAML file holds them. */
export const gatewaySettingsSchema = z.strictObject({
  identity: z.strictObject({
    daemonId: z.string().min(1),
    dataCentre: z.string().min(1),
    /** The whole system starts for the first time. */
    isFirstStart: z.boolean().default(false),
  }),
  listen: z.strictObject({
    callers: address,
    /** Where the balancer asks whether to send new connections. */
    readiness: address,
    readinessPath: z.string().startsWith('/').default('/ready'),
    operators: address,
    peers: address,
    metrics: address,
  }),
  platform: z.strictObject({
    storeAddress: address,
    cloudAddress: address,
    /** Operators' addresses of some daemons, which may be stale. */
    seeds: z.array(address).default([]),
  }),
  /** Key that daemons of one deployment seal their messages with. */
  peerSecret: z.string().min(16, 'a text of at least 16 characters'),
  telemetry: z
    .strictObject({ logLevel: z.enum(LogLevel).default(LogLevel.Info) })
    .prefault({}),
  /** What the platform holds the system to. */
  bounds: z
    .strictObject({
      /** Time from a change of the configuration until it is in force. */
      configurationMs: durationMs.default(2_000),
      /** Time from an endpoint's leaving until it gets nothing new. */
      drainMs: durationMs.default(2_000),
      /** Time from SIGTERM until the process is killed. */
      gracePeriodSeconds: z.number().positive().default(8),
      leaseMs: durationMs.default(3_000),
      /** Repeats that a group may get, as a share of its requests. */
      repeatShare: z.number().nonnegative().default(0.2),
      /** Repeats that a group may get besides, over all daemons. */
      repeatSlack: z.number().nonnegative().default(50),
      /** What daemons together may grant beyond a workspace's allowance: a share of its rate, and tokens. */
      allowanceRateShare: z.number().nonnegative().default(0),
      allowanceTokens: z.number().nonnegative().default(0),
      usageWindowSeconds: z.number().positive().default(5),
      /** Time from a window's end until its usage is due. */
      usageDueSeconds: z.number().positive().default(10),
      /** Share of a group's requests that a version on trial may get. */
      exposureShare: z.number().nonnegative().default(0.1),
      /** Requests that a version on trial may get besides. */
      exposureSlack: z.number().nonnegative().default(50),
    })
    .prefault({}),
  routing: z
    .strictObject({
      /** Prompt tokens that an engine reads in a millisecond. */
      prefillTokensPerMs: z.number().positive().default(90),
    })
    .prefault({}),
});

export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;
