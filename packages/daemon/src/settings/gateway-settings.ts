import { z } from 'zod';

import { address, durationMs, LogLevel } from './fields.js';
import { machineSettingsSchema } from './machine-settings.js';

/** Rule by which the endpoint of a request is chosen. */
export enum PlacementRule {
  /** Least expected latency, where all engines of a group are taken to be equally fast. */
  LeastLatency = 'leastLatency',
  /** Least work, by what is learned of each endpoint. */
  LeastWork = 'leastWork',
}

/** Schema of the `gateway` section of a settings file, for a daemon that serves as a platform's gateway. */
export const gatewaySettingsSchema = z.strictObject({
  identity: z.strictObject({
    daemonId: z.string().min(1),
    dataCentre: z.string().min(1),
    /** Whether the whole system starts for the first time. */
    isFirstStart: z.boolean().default(false),
    /** Region of each data centre; one without a region is no home of any request. */
    regions: z.record(z.string(), z.string()).default({}),
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
      /** Maximum time from the order to evacuate a data centre until its endpoints receive no new requests. */
      evacuationMs: durationMs.default(5_000),
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
      /** Shortest time between two calls that store the usage counts of all daemons; 0: they are not stored. */
      usageCheckpointSeconds: z.number().nonnegative().default(0),
      /** Maximum share of a group's requests that a canary version may receive. */
      exposureShare: z.number().nonnegative().default(0.1),
      /** Requests that a canary version may receive in addition to its share. */
      exposureSlack: z.number().nonnegative().default(50),
      /** Maximum requests per second that a cold endpoint may receive from all daemons, as a multiple of what it tolerates, plus a number. */
      coldOverage: z.number().nonnegative().default(1),
      coldSlack: z.number().nonnegative().default(0),
    })
    .prefault({}),
  callers: machineSettingsSchema,
  routing: z
    .strictObject({
      /** Prompt tokens that an engine processes per millisecond (prefill). */
      prefillTokensPerMs: z.number().positive().default(90),
      placement: z.enum(PlacementRule).default(PlacementRule.LeastLatency),
      /** Whether engines are told to fetch shared parts of prompts from one another. */
      transfersPrompts: z.boolean().default(false),
    })
    .prefault({}),
  fleet: z
    .strictObject({
      /** Whether the planned load of an endpoint is learned from first events; else it is the same for all. */
      learnsCapacity: z.boolean().default(false),
    })
    .prefault({}),
  /** Queues in which requests wait for the capacity of their group. */
  queue: z
    .strictObject({
      isEnabled: z.boolean().default(false),
      /** Maximum number of requests that wait for one group. */
      maxRequests: z.number().int().positive().default(256),
      /** Maximum sum of the bodies of the requests that wait for one group. */
      maxBytes: z.number().int().positive().default(16_777_216),
      /** Whether engines are told the priority of requests. */
      sendsPriority: z.boolean().default(false),
    })
    .prefault({}),
});

export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;
