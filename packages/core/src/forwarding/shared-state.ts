import { z } from 'zod';

import type { EvacuationState } from '../evacuations/index.js';
import type { Configuration } from './configuration.js';
import { RouteType } from './configuration.js';
import type { EndpointListing } from './endpoint-record.js';
import { EndpointState } from './endpoint-record.js';
import type { RolloutOrder } from './sources.js';

const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  type: z.enum(RouteType),
  targets: z.array(z.object({ group: z.string(), weight: z.number() })),
  timeoutMs: z.number(),
  latencyObjectiveMs: z.number(),
  maxGapMs: z.number().optional(),
  priority: z.number(),
  maxAttempts: z.number(),
  isPublic: z.boolean(),
  isResumable: z.boolean(),
  homeRegions: z.array(z.string()).optional(),
});

const scalingSchema = z.object({
  minEndpoints: z.number(),
  maxEndpoints: z.number(),
  bootMs: z.number(),
  reclaimablePrice: z.number().optional(),
  pricesByDataCentre: z.record(z.string(), z.number()),
});

const coldStartSchema = z.object({
  durationMs: z.number(),
  requestsPerSecond: z.number(),
});

const engineSchema = z.object({
  slots: z.number(),
  cacheTokens: z.number(),
  transfer: z
    .object({ bytesPerToken: z.number(), bytesPerMs: z.number() })
    .optional(),
});

const groupSchema = z.object({
  name: z.string(),
  maxConnections: z.number(),
  engine: engineSchema.optional(),
  scaling: scalingSchema.optional(),
  coldStart: coldStartSchema.optional(),
});

const tokenRateSchema = z.object({
  tokensPerSecond: z.number(),
  burstTokens: z.number(),
  plainTokens: z.number(),
});

const workspaceSchema = z.object({
  workspace: z.string(),
  apiKeys: z.array(z.string()),
  priority: z.number().optional(),
  tokenRate: tokenRateSchema.optional(),
  homeRegions: z.array(z.string()).optional(),
});

const configurationSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  groups: z.array(groupSchema),
  limits: z.object({
    maxHeaderBytes: z.number(),
    maxBodyBytes: z.number(),
    headerTimeoutMs: z.number(),
    idleTimeoutMs: z.number(),
  }),
  workspaces: z.array(workspaceSchema).optional(),
  knowsHomeRegions: z.boolean().optional(),
});

const endpointSchema = z.object({
  id: z.string(),
  address: z.string(),
  group: z.string(),
  dataCentre: z.string(),
  version: z.string(),
  slots: z.number(),
  state: z.enum(EndpointState),
  coldRemainingMs: z.number(),
  isReclaimable: z.boolean(),
  leavesInMs: z.number().optional(),
  bornAtMs: z.number().optional(),
});

const listingSchema = z.object({
  revision: z.number(),
  endpoints: z.array(endpointSchema),
});

const orderSchema = z.object({
  revision: z.number(),
  group: z.string(),
  toVersion: z.string(),
  durationMs: z.number(),
});

const evacuationsSchema = z.object({
  revision: z.number(),
  dataCentres: z.array(z.string()),
});

/**
 * Parses a configuration that a peer read from the store, which may run another
 * build. Throws `z.ZodError` or `SyntaxError` if a field is missing or unknown
 * to this build in its value, so that a request never meets it.
 */
export function parseSharedConfiguration(text: string): Configuration {
  return checked(configurationSchema, text) as Configuration;
}

/** Parses a list of endpoints likewise. */
export function parseSharedListing(text: string): EndpointListing {
  return checked(listingSchema, text) as EndpointListing;
}

/** Parses rollout orders likewise. */
export function parseSharedOrders(text: string): readonly RolloutOrder[] {
  return checked(z.array(orderSchema), text) as readonly RolloutOrder[];
}

/** Parses the evacuated data centres likewise. */
export function parseSharedEvacuations(text: string): EvacuationState {
  return checked(evacuationsSchema, text) as EvacuationState;
}

/**
 * Returns the parsed text if it matches the schema, which accepts only what the
 * type describes; in JSON, fields that are undefined are absent.
 */
function checked(schema: z.ZodType, text: string): unknown {
  const value: unknown = JSON.parse(text);
  schema.parse(value);
  return value;
}
