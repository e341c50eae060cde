import { createHmac, timingSafeEqual } from 'node:crypto';

import { z } from 'zod';

import type { Address, Workspace } from '../ports/index.js';

/** Longest token that is looked at, in characters. */
const MAX_TOKEN_CHARACTERS = 2_048;

/** What a caller needs to go on with a stream at any daemon. */
export interface ResumePoint {
  readonly requestId: string;
  readonly workspace: Workspace;
  /** Endpoint that makes the answer. */
  readonly address: Address;
  readonly streamId: string;
  /** First token that the caller does not have. */
  readonly tokenOffset: number;
  /** Characters of the answer that the caller has. */
  readonly characters: number;
  readonly expiresAtMs: number;
}

/** A signing key; its id names it within the list of keys in force. */
export interface ResumeKey {
  readonly id: string;
  readonly secret: string;
}

export enum ResumeTokenFault {
  Malformed = 'malformed',
  Forged = 'forged',
  Foreign = 'foreign',
  Expired = 'expired',
}

const REMEDIES: Record<ResumeTokenFault, string> = {
  [ResumeTokenFault.Malformed]:
    'send the id of the last event unchanged in Last-Event-ID',
  [ResumeTokenFault.Forged]:
    'send the id of the last event unchanged, or the request again',
  [ResumeTokenFault.Foreign]:
    'use the request id and the credential that the stream was begun with',
  [ResumeTokenFault.Expired]: 'send the request again with a later deadline',
};

/** A resume token was refused; the message names the remedy. */
export class ResumeTokenError extends Error {
  override readonly name = 'ResumeTokenError';
  readonly remedy: string;

  constructor(readonly fault: ResumeTokenFault) {
    super(`The resume token is ${fault}; ${REMEDIES[fault]}.`);
    this.remedy = REMEDIES[fault];
  }
}

/** Who presents a token, and for which request. */
export interface ResumeClaim {
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
 * Signs and checks resume tokens: a payload in JSON, the key's id and an
 * HMAC-SHA-256 over both. The first key signs and every key of the list
 * checks, so that keys rotate by adding one in front and dropping the last.
 */
export class ResumeTokens {
  /** `keys` holds at least one key. */
  constructor(private readonly keys: readonly ResumeKey[]) {}

  sign(point: ResumePoint): string {
    const key = this.keys[0];
    if (key === undefined) {
      throw new RangeError('No key signs resume tokens; set resume.keys.');
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

  /** The point that the token names. Throws `ResumeTokenError`. */
  verify(token: string, claim: ResumeClaim, nowMs: number): ResumePoint {
    const point = this.read(token);
    const isOwn =
      point.workspace === claim.workspace &&
      point.requestId === claim.requestId;
    if (!isOwn) throw new ResumeTokenError(ResumeTokenFault.Foreign);
    if (point.expiresAtMs <= nowMs) {
      throw new ResumeTokenError(ResumeTokenFault.Expired);
    }
    return point;
  }

  private read(token: string): ResumePoint {
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
    const given = Buffer.from(signature, 'base64url');
    const isGenuine =
      key !== undefined &&
      // The text is compared too, since base64url has spare bits at its end.
      given.toString('base64url') === signature &&
      isEqual(given, signatureOf(signed, key));
    if (!isGenuine) throw new ResumeTokenError(ResumeTokenFault.Forged);
  }
}

function signatureOf(signed: string, key: ResumeKey): Buffer {
  return createHmac('sha256', key.secret).update(signed).digest();
}

function isEqual(left: Buffer, right: Buffer): boolean {
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
