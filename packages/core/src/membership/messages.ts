import { z } from 'zod';

import type { DaemonIdentity } from '../ports/index.js';
import { definePeerMethod } from '../ports/index.js';
import type { MemberUpdate } from './membership.js';
import { MemberState } from './membership.js';
import type { KeyVersion, SpreadPatch } from './spread-value.js';

/** Most news that one message carries. */
export const MAX_UPDATES = 6;
/** Most key versions that one digest carries. */
export const MAX_DIGEST_KEYS = 16;
/** Most members that the answer to a joining daemon carries. */
export const MAX_ROSTER = 128;

const MAX_TEXT = 256;
const MAX_PATCHES = 16;

const text = z.string().min(1).max(MAX_TEXT);
const count = z.int().nonnegative();

const identitySchema: z.ZodType<DaemonIdentity> = z.object({
  id: text,
  dataCentre: text,
  peerAddress: text,
  callerUrl: z.string().max(MAX_TEXT),
});

const updateSchema: z.ZodType<MemberUpdate> = z.object({
  id: text,
  state: z.enum(MemberState),
  incarnation: count,
  identity: identitySchema.optional(),
});

const keyVersionSchema: z.ZodType<KeyVersion> = z.object({
  key: text,
  version: count,
});

const digestSchema = z.array(keyVersionSchema).max(MAX_DIGEST_KEYS);

const patchSchema: z.ZodType<SpreadPatch> = z.object({
  key: text,
  version: count,
  baseVersion: count,
  prefixLength: count,
  suffixLength: count,
  inserted: z.string(),
  checksum: count,
});

const probeSchema = z.object({
  from: identitySchema,
  incarnation: count,
  updates: z.array(updateSchema).max(MAX_UPDATES),
  digest: digestSchema,
});

const probeAnswerSchema = z.object({
  incarnation: count,
  updates: z.array(updateSchema).max(MAX_UPDATES),
  /** Left out where it equals the digest of the probe. */
  digest: digestSchema.optional(),
  /** Time since the sender last knew its values to be current. */
  confirmedAgeMs: count.optional(),
});

/** Asks a member whether it is alive; both sides add news and their digest. */
export const probeMethod = definePeerMethod(
  'membership.probe',
  probeSchema,
  probeAnswerSchema,
);

/** Asks a member to probe another one that did not answer. */
export const probeThroughMethod = definePeerMethod(
  'membership.probeThrough',
  z.object({ target: identitySchema, deadlineAtMs: count }),
  z.object({ reached: z.boolean() }),
);

/** Asks a member for the live members that it knows. */
export const joinMethod = definePeerMethod(
  'membership.join',
  z.object({ from: identitySchema, incarnation: count }),
  z.object({
    roster: z.array(updateSchema).max(MAX_ROSTER),
    digest: digestSchema,
  }),
);

/** Heartbeat between the relays of a data centre and their standbys. */
export const relayHeartbeatMethod = definePeerMethod(
  'membership.relayHeartbeat',
  z.object({}),
  z.object({}),
);

/** Hands on changed values; the answer names those that must be sent whole. */
export const pushMethod = definePeerMethod(
  'spread.push',
  z.object({
    patches: z.array(patchSchema).max(MAX_PATCHES),
    /** Whether the receiver is the first of its cell to be told. */
    entersCell: z.boolean(),
  }),
  z.object({ wanted: z.array(text).max(MAX_PATCHES) }),
);

/** Asks for the values that are newer than the digest. */
export const pullMethod = definePeerMethod(
  'spread.pull',
  z.object({ digest: digestSchema }),
  z.object({ patches: z.array(patchSchema).max(MAX_PATCHES) }),
);

export type ProbeMessage = z.output<typeof probeSchema>;
export type ProbeAnswer = z.output<typeof probeAnswerSchema>;
export type PushMessage = z.output<typeof pushMethod.params>;
