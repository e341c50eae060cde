import { createHmac, timingSafeEqual } from 'node:crypto';

import { z } from 'zod';

import type { Address, Workspace } from '../ports/index.js';

/** Maximum length of a token, in characters; longer ones are rejected as malformed. */
const MAX_TOKEN_CHARACTERS = 2_048;

/** Position from which a caller can resume a stream at any daemon. */
export interface ResumePoint {
  readonly requestId: string;
  readonly workspace: Workspace;
  /** Endpoint that generates the answer. */
  readonly address: Address;
  readonly streamId: string;
  /** Offset of the first token that the caller does not have. */
  readonly tokenOffset: number;
  /** Number of characters of the answer that the caller has. */
  readonly characters: number;
  readonly expiresAtMs: number;
}

/** A signing key; its id is unique within the list of valid keys. */
export interface ResumeSigningKey {
  readonly id: string;
  readonly secret: string;
}

export enum ResumeTokenFault {
  /** The token does not have the expected format. */
  Malformed = 'malformed',
  /** The signature is invalid or its key is unknown. */
  Forged = 'forged',
  /** The token was issued for another request or workspace. */
  Foreign = 'foreign',
  Expired = 'expired',
}

const REMEDIES: Record<ResumeTokenFault, string> = {
  [ResumeTokenFault.Malformed]:
    'send the id of the last event unchanged in Last-Event-ID',
  [ResumeTokenFault.Forged]:
    'send the id of the last event unchanged, or the request again',
  [ResumeTokenFault.Foreign]:
    'use the request id and the credential that the stream was started with',
  [ResumeTokenFault.Expired]: 'send the request again with a later deadline',
};

/** Rejection of a resume token, with the remedy. */
export class ResumeTokenError extends Error {
  override readonly name = 'ResumeTokenError';
  readonly remedy: string;

  constructor(readonly fault: ResumeTokenFault) {
    super(`The resume token is ${fault}; ${REMEDIES[fault]}.`);
    this.remedy = REMEDIES[fault];
  }
}

/** Workspace that presents a token, and the request that it is presented for. */
export interface ResumeRequester {
  readonly requestId: string;
  readonly workspace: Workspace;
}

const payloadSchema = z.object({
  r: z.string(),
  w: z.string(),
  a: z.string(),
  s: z.string(),
  t: z.int().nonnegative(),
  c: z.int().nonnegative(),
  x: z.number(),
});

/**
 * Signs and verifies resume tokens: a payload in JSON, the key's id and an
 * HMAC-SHA-256 of both. The first key signs and all keys verify, so keys are
 * rotated by adding one at the front and removing the last one.
 */
export class ResumeTokenSigner {
  /** `keys` must contain at least one key. */
  constructor(private readonly keys: readonly ResumeSigningKey[]) {}

  /** Returns the signed token of the point. Throws `RangeError` where no key is configured. */
  sign(point: ResumePoint): string {
    const key = this.keys[0];
    if (key === undefined) {
      throw new RangeError(
        'No key is configured for signing resume tokens; set resume.keys.',
      );
    }
    const payload = {
      r: point.requestId,
      w: point.workspace,
      a: point.address,
      s: point.streamId,
      t: point.tokenOffset,
      c: point.characters,
      x: point.expiresAtMs,
    };
    const body = Buffer.from(JSON.stringify(payload)).toString('base64url');
    const signed = `${body}.${key.id}`;
    return `${signed}.${signatureOf(signed, key).toString('base64url')}`;
  }

  /** Returns the point that the token contains. Throws `ResumeTokenError`. */
  verify(
    token: string,
    requester: ResumeRequester,
    nowMs: number,
  ): ResumePoint {
    const point = this.decode(token);
    const isSameRequest =
      point.workspace === requester.workspace &&
      point.requestId === requester.requestId;
    if (!isSameRequest) throw new ResumeTokenError(ResumeTokenFault.Foreign);
    if (point.expiresAtMs <= nowMs) {
      throw new ResumeTokenError(ResumeTokenFault.Expired);
    }
    return point;
  }

  private decode(token: string): ResumePoint {
    const [body, keyId, signature, ...rest] = token.split('.');
    const isWellFormed =
      token.length <= MAX_TOKEN_CHARACTERS &&
      signature !== undefined &&
      rest.length === 0;
    if (!isWellFormed || body === undefined || keyId === undefined) {
      throw new ResumeTokenError(ResumeTokenFault.Malformed);
    }
    this.checkSignature(`${body}.${keyId}`, keyId, signature);
    return parsePayload(body);
  }

  private checkSignature(
    signed: string,
    keyId: string,
    signature: string,
  ): void {
    const key = this.keys.find(candidate => candidate.id === keyId);
    const decoded = Buffer.from(signature, 'base64url');
    const hasValidSignature =
      key !== undefined &&
      // The encoded text is compared too, because base64url has unused bits at its end.
      decoded.toString('base64url') === signature &&
      equalsInConstantTime(decoded, signatureOf(signed, key));
    if (!hasValidSignature) throw new ResumeTokenError(ResumeTokenFault.Forged);
  }
}

function signatureOf(signed: string, key: ResumeSigningKey): Buffer {
  return createHmac('sha256', key.secret).update(signed).digest();
}

function equalsInConstantTime(left: Buffer, right: Buffer): boolean {
  return left.length === right.length && timingSafeEqual(left, right);
}

function parsePayload(body: string): ResumePoint {
  const text = Buffer.from(body, 'base64url').toString('utf8');
  const payload = payloadSchema.parse(JSON.parse(text));
  return {
    requestId: payload.r,
    workspace: payload.w,
    address: payload.a,
    streamId: payload.s,
    tokenOffset: payload.t,
    characters: payload.c,
    expiresAtMs: payload.x,
  };
}
