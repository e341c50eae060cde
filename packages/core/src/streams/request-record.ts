import { z } from 'zod';

import {
  definePeerMethod,
  EngineEventKind,
  FinishReason,
  Priority,
} from '../ports/index.js';

const workSchema = z.object({
  requestId: z.string(),
  workspace: z.string(),
  kind: z.string(),
  group: z.string(),
  /** Version that the request's rule specifies, if any. */
  ruleVersion: z.string().optional(),
  messages: z.array(z.object({ role: z.string(), content: z.string() })),
  maxTokens: z.int().positive(),
  priority: z.enum(Priority),
  deadlineAtMs: z.number(),
});

const finishSchema = z.object({
  kind: z.literal(EngineEventKind.Finish),
  streamId: z.string(),
  reason: z.enum(FinishReason),
  totalTokens: z.number(),
  promptTokens: z.number(),
  cachedTokens: z.number(),
});

const recordSchema = z.object({
  work: workSchema,
  /** Text of the answer so far; the caller may have received all of it. */
  text: z.string(),
  /** Number of tokens of `text`. */
  tokens: z.int().nonnegative(),
  /** Model version that generated `text`. */
  version: z.string().optional(),
  /** Endpoint and stream that generate the answer, once an endpoint has been chosen. */
  address: z.string().optional(),
  streamId: z.string().optional(),
  /** Set once the answer is complete. */
  finish: finishSchema.optional(),
});

/** Work of a model request, once its caller and rule are determined. */
export type ModelRequestSpec = Readonly<z.output<typeof workSchema>>;

/** State that another daemon needs to continue a request. */
export type RequestRecord = Readonly<z.output<typeof recordSchema>>;

const requestIdentitySchema = z.object({
  workspace: z.string(),
  requestId: z.string(),
});

/** Identifies a request; request ids are unique only within their workspace. */
export type RequestIdentity = Readonly<z.output<typeof requestIdentitySchema>>;

/** Stores a copy of a record at another daemon. */
export const putRecordMethod = definePeerMethod(
  'handOff.put',
  recordSchema,
  z.object({ stored: z.boolean() }),
);

/** Fetches the record of a request from another daemon. */
export const findRecordMethod = definePeerMethod(
  'handOff.find',
  requestIdentitySchema,
  z.object({ record: recordSchema.optional() }),
);
