import { z } from 'zod';

import { brittleEndpointHintsSchema } from '../brittle-endpoints/index.js';
import { coldEndpointHintsSchema } from '../cold-starts/index.js';
import { endpointLimitHintsSchema } from '../endpoint-limits/index.js';
import { firstEventHintsSchema } from '../first-events/index.js';
import type { EndpointLoad, LifetimeGrants } from '../forwarding/index.js';
import { leavingEndpointHintsSchema } from '../forwarding/index.js';
import { loadReportHintsSchema } from '../placement/index.js';
import { definePeerMethod, readableItems } from '../ports/index.js';
import { quarantineHintsSchema } from '../quarantine/index.js';
import { rolloutHintsSchema } from '../rollouts/index.js';
import { dutyLeaseHintSchema } from './duty-lease-news.js';

const MAX_TEXT_LENGTH = 256;
const text = z.string().min(1).max(MAX_TEXT_LENGTH);
const count = z.number().nonnegative();

const workSchema: z.ZodType<EndpointLoad> = z.object({
  running: count,
  backlogTokens: count,
});

/** Usage counts of one window. */
export const windowUsageSchema = z.object({
  windowId: count,
  /** Number of requests that endpoints started, by workspace. */
  counts: z.record(text, count),
});

/** What one run of a daemon's process has granted, as another daemon knows it. */
const lifetimeGrantsSchema: z.ZodType<LifetimeGrants> = z.object({
  lifetime: text,
  ageMs: count,
  granted: z.record(text, count),
});

/** Whether a daemon reaches the endpoints of a group. */
const reachabilitySchema = z.object({
  isUnreachable: z.boolean(),
  /** Time since the daemon last received something from any of them; absent if it never did. */
  heardAgeMs: count.optional(),
});

/**
 * Gossip message with one daemon's state. It replaces every earlier message of
 * the same `lifetime`. A part that cannot be read counts as absent, which must be
 * safe for every part that is optional.
 */
const daemonHintsSchema = z.object({
  daemonId: text,
  /** Id of one run of the daemon's process; a restart gets a new one. */
  lifetime: text,
  /** Increases with every message of the lifetime. */
  sequence: count,
  /** Time since the process started. */
  ageMs: count,
  /** The sender's wall clock in milliseconds since the Unix epoch. */
  wallMs: z.number(),
  /** The sender's own load on each endpoint, by endpoint id. */
  work: z.record(text, workSchema),
  grantedTokens: z.record(text, count),
  /** Grants of other daemons to workspaces that are short of tokens. Absent in hints of daemons that do not know it. */
  passedOnGrants: z
    .array(lifetimeGrantsSchema)
    .readonly()
    .optional()
    .catch(undefined),
  /** The sender's counts of windows that may still have to be reported. */
  usage: z.array(windowUsageSchema),
  /** First window that the platform may still lack a usage report of; counts of earlier ones are not sent. Absent where that is not known. */
  usageReportedBefore: count.optional().catch(undefined),
  /** Time since the sender, or a daemon that it heard of, began its last successful read of the endpoints. */
  endpointReadAgeMs: count.optional().catch(undefined),
  /** Version of the sender's list of endpoints. */
  endpointsVersion: count,
  /** Time since the sender, or a daemon that it heard of, last confirmed the operators' state. */
  operatorReadAgeMs: count.optional().catch(undefined),
  /** Version of the sender's configuration. Absent in hints of daemons that do not know it. */
  configurationVersion: count.optional().catch(undefined),
  /** Version of the evacuated data centres that the sender holds. Absent in hints of daemons that do not know them. */
  evacuationsVersion: count.optional().catch(undefined),
  /** Revision of the newest rollout order that the sender holds; 0 if it holds none. Absent in hints of daemons that do not state it. */
  ordersRevision: count.optional().catch(undefined),
  /** Newest lease for the duties that the sender knows of. */
  dutyLease: dutyLeaseHintSchema.optional().catch(undefined),
  rollouts: readableItems(rolloutHintsSchema),
  /** Absent in hints of daemons that do not know it. */
  quarantine: quarantineHintsSchema.optional().catch(undefined),
  /** Absent in hints of daemons that do not know it. */
  endpointLimits: endpointLimitHintsSchema.optional().catch(undefined),
  /** Absent in hints of daemons that do not know it. */
  brittleEndpoints: brittleEndpointHintsSchema.optional().catch(undefined),
  /** Absent in hints of daemons that do not know it. */
  leavingEndpoints: leavingEndpointHintsSchema.optional().catch(undefined),
  /** Absent in hints of daemons that do not know it. */
  coldEndpoints: coldEndpointHintsSchema.optional().catch(undefined),
  /** Newest reports of endpoints' load. Absent in hints of daemons that do not place by work. */
  loadReports: loadReportHintsSchema.optional().catch(undefined),
  /** By group. Absent in hints of daemons that cannot pass requests on. */
  reachability: z.record(text, reachabilitySchema).optional().catch(undefined),
  /** Whether the sender can be told usage counts. Absent in hints of daemons that do not know it. */
  takesUsageCounts: z.boolean().optional().catch(undefined),
  /** Whether the sender passes the usage counts that it is told on to the holder of the duties. Absent in hints of daemons that do not know it. */
  collectsUsage: z.boolean().optional().catch(undefined),
  /** Only in hints to the holder of the duties; absent also if the sender does not count first events, whose counts are unknown then. */
  firstEvents: firstEventHintsSchema.optional().catch(undefined),
  /** Whether the sender holds the lease for the duties towards the platform. */
  holdsDuties: z.boolean(),
});

export type WindowUsage = Readonly<z.output<typeof windowUsageSchema>>;
export type ReachabilityHint = Readonly<z.output<typeof reachabilitySchema>>;
export type DaemonHints = Readonly<z.output<typeof daemonHintsSchema>>;

/** Peer method by which two daemons exchange their hints. */
export const exchangeHintsMethod = definePeerMethod(
  'hints.exchange',
  daemonHintsSchema,
  daemonHintsSchema,
);
