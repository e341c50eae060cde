import { z } from 'zod';

import type { DaemonIdentity } from '../ports/index.js';
import { definePeerMethod } from '../ports/index.js';
import type { MemberUpdate } from './membership.js';
import { MemberState } from './membership.js';
import type { KeyVersion, ValuePatch } from './replicated-value.js';

/** Maximum member updates piggybacked on one message. */
export const MAX_UPDATES_PER_MESSAGE = 6;
/** Maximum key versions in one digest. */
export const MAX_DIGEST_KEYS = 16;
/** Maximum members in the answer to a join request. */
export const MAX_ROSTER_MEMBERS = 128;

const MAX_TEXT_LENGTH = 256;
const MAX_PATCHES_PER_MESSAGE = 16;

const textSchema = z.string().min(1).max(MAX_TEXT_LENGTH);
const countSchema = z.int().nonnegative();

const identitySchema: z.ZodType<DaemonIdentity> = z.object({
  id: textSchema,
  dataCentre: textSchema,
  peerAddress: textSchema,
  callerUrl: z.string().max(MAX_TEXT_LENGTH),
});

const updateSchema: z.ZodType<MemberUpdate> = z.object({
  id: textSchema,
  state: z.enum(MemberState),
  incarnation: countSchema,
  identity: identitySchema.optional(),
});

const keyVersionSchema: z.ZodType<KeyVersion> = z.object({
  key: textSchema,
  version: countSchema,
});

const digestSchema = z.array(keyVersionSchema).max(MAX_DIGEST_KEYS);

const patchSchema: z.ZodType<ValuePatch> = z.object({
  key: textSchema,
  version: countSchema,
  baseVersion: countSchema,
  prefixLength: countSchema,
  suffixLength: countSchema,
  inserted: z.string(),
  checksum: countSchema,
});

const probeSchema = z.object({
  from: identitySchema,
  incarnation: countSchema,
  updates: z.array(updateSchema).max(MAX_UPDATES_PER_MESSAGE),
  digest: digestSchema,
});

const probeAnswerSchema = z.object({
  incarnation: countSchema,
  updates: z.array(updateSchema).max(MAX_UPDATES_PER_MESSAGE),
  /** Omitted when it equals the digest of the probe. */
  digest: digestSchema.optional(),
  /** Time since the sender's values were last confirmed to be current, in milliseconds. */
  confirmedAgeMs: countSchema.optional(),
});

/** Probes a member. Request and answer carry member updates and a digest of the values held. */
export const probeMethod = definePeerMethod(
  'membership.probe',
  probeSchema,
  probeAnswerSchema,
);

/** Indirect probe: asks a member to probe a target that did not answer a direct probe. */
export const indirectProbeMethod = definePeerMethod(
  'membership.probeThrough',
  z.object({
    target: identitySchema,
    /** By the sender's clock, which may differ from the receiver's. The build before accepts only whole numbers. */
    deadlineAtMs: z.number(),
  }),
  z.object({ reached: z.boolean() }),
);

/** Requests the live members that a member knows. */
export const joinMethod = definePeerMethod(
  'membership.join',
  z.object({ from: identitySchema, incarnation: countSchema }),
  z.object({
    roster: z.array(updateSchema).max(MAX_ROSTER_MEMBERS),
    digest: digestSchema,
  }),
);

/** Heartbeat that a standby sends to a relay of its data centre. */
export const relayHeartbeatMethod = definePeerMethod(
  'membership.relayHeartbeat',
  z.object({}),
  z.object({}),
);

/**
 * Pushes changed values as patches, and offers versions that are sent if wanted.
 * The answer lists the offered keys to be sent, and those to be sent in full.
 */
export const pushMethod = definePeerMethod(
  'spread.push',
  z.object({
    patches: z.array(patchSchema).max(MAX_PATCHES_PER_MESSAGE),
    /** Absent in messages of daemons that do not know it. */
    offers: digestSchema.optional(),
    /**
     * Whether the receiver is the entry point of its cell and has to propagate
     * the values within it.
     */
    entersCell: z.boolean(),
  }),
  z.object({ wanted: z.array(textSchema).max(MAX_PATCHES_PER_MESSAGE) }),
);

/** Requests the values that are newer than the versions in the digest. */
export const pullMethod = definePeerMethod(
  'spread.pull',
  z.object({ digest: digestSchema }),
  z.object({ patches: z.array(patchSchema).max(MAX_PATCHES_PER_MESSAGE) }),
);

export type ProbeMessage = z.output<typeof probeSchema>;
export type ProbeAnswer = z.output<typeof probeAnswerSchema>;
export type PushMessage = z.output<typeof pushMethod.params>;
