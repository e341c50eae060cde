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
  /** Version that the rule names, if any. */
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
  /** Text of the answer so far, all of which may have reached the caller. */
  text: z.string(),
  /** Tokens of `text`. */
  tokens: z.int().nonnegative(),
  /** Version that made `text`. */
  version: z.string().optional(),
  /** Endpoint and stream that make the answer, once one was chosen. */
  address: z.string().optional(),
  streamId: z.string().optional(),
  /** Set once the answer is whole. */
  finish: finishSchema.optional(),
});

/** What a model request asks for, once its caller and rule are known. */
export type ModelWork = Readonly<z.output<typeof workSchema>>;

/** Everything that another daemon needs to go on with a request. */
export type RequestRecord = Readonly<z.output<typeof recordSchema>>;

const requestNameSchema = z.object({
  workspace: z.string(),
  requestId: z.string(),
});

/** Names one request; ids are unique only within their workspace. */
export type RequestName = Readonly<z.output<typeof requestNameSchema>>;

/** Leaves a copy of a record with another daemon. */
export const putRecordMethod = definePeerMethod(
  'handOff.put',
  recordSchema,
  z.object({ stored: z.boolean() }),
);

/** Asks another daemon for the record that it holds of a request. */
export const findRecordMethod = definePeerMethod(
  'handOff.find',
  requestNameSchema,
  z.object({ record: recordSchema.optional() }),
);
