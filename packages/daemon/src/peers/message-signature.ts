import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

import type { Address, Clock } from '@skylarkreach/core/ports';

/** HTTP headers that carry the signature of a message. */
export enum SignatureHeader {
  SentAt = 'x-sent-at',
  Nonce = 'x-nonce',
  Signature = 'x-signature',
}

/** Reason for which a message fails verification. */
export enum VerificationFailure {
  /** A header is missing or the signature does not match. */
  Unauthenticated = 'unauthenticated',
  /** The message's time differs from the receiver's clock by more than the allowed skew. */
  OutsideWindow = 'outsideWindow',
  /** A message with this nonce was received before, or no further nonce can be stored. */
  Replayed = 'replayed',
}

/** Fields that the signature covers. */
export interface SignedMessage {
  readonly target: Address;
  readonly sentAtMs: number;
  readonly nonce: string;
  readonly body: string | Uint8Array;
}

/** Maximum difference between a message's time and the receiver's clock. */
const CLOCK_SKEW_WINDOW_MS = 30_000;
const NONCE_BYTES = 9;
/** Maximum number of nonces in one generation; further messages are refused as replays. */
const MAX_NONCES = 200_000;

export type SignatureHeaders = Readonly<Record<SignatureHeader, string>>;

/** Signs messages with the peers' shared secret (HMAC-SHA-256). The secret itself is not sent. */
export class MessageSigner {
  constructor(
    private readonly peerSecret: string,
    private readonly clock: Clock,
  ) {}

  /** Returns the signature headers of a message to `target`. */
  sign(target: Address, body: string | Uint8Array): SignatureHeaders {
    const sentAtMs = Math.floor(this.clock.nowMs());
    const nonce = randomBytes(NONCE_BYTES).toString('base64url');
    const message = { target, sentAtMs, nonce, body };
    return {
      [SignatureHeader.SentAt]: String(sentAtMs),
      [SignatureHeader.Nonce]: nonce,
      [SignatureHeader.Signature]: computeSignature(
        this.peerSecret,
        message,
      ).toString('base64url'),
    };
  }
}

/** Verifies signed messages and detects replays by their nonces. */
export class MessageVerifier {
  private currentNonces = new Set<string>();
  private previousNonces = new Set<string>();
  private rotateAtMs = 0;

  constructor(
    private readonly peerSecret: string,
    private readonly clock: Clock,
  ) {}

  /** Returns the reason for which a message fails verification, or undefined where it is valid. */
  verify(
    message: SignedMessage,
    signature: string,
  ): VerificationFailure | undefined {
    const expected = computeSignature(this.peerSecret, message);
    const received = Buffer.from(signature, 'base64url');
    const isAuthentic =
      received.length === expected.length &&
      timingSafeEqual(received, expected);
    if (!isAuthentic) return VerificationFailure.Unauthenticated;
    const nowMs = this.clock.nowMs();
    if (Math.abs(nowMs - message.sentAtMs) > CLOCK_SKEW_WINDOW_MS) {
      return VerificationFailure.OutsideWindow;
    }
    return this.recordNonce(message.nonce, nowMs);
  }

  /**
   * Records a nonce and reports a replay. Nonces are kept in two generations,
   * which together cover the window before and after the current time.
   */
  private recordNonce(
    nonce: string,
    nowMs: number,
  ): VerificationFailure | undefined {
    if (nowMs >= this.rotateAtMs) {
      this.previousNonces =
        nowMs >= this.rotateAtMs + 2 * CLOCK_SKEW_WINDOW_MS
          ? new Set()
          : this.currentNonces;
      this.currentNonces = new Set();
      this.rotateAtMs = nowMs + 2 * CLOCK_SKEW_WINDOW_MS;
    }
    const isKnown =
      this.currentNonces.has(nonce) || this.previousNonces.has(nonce);
    if (isKnown || this.currentNonces.size >= MAX_NONCES)
      return VerificationFailure.Replayed;
    this.currentNonces.add(nonce);
    return undefined;
  }
}

function computeSignature(secret: string, message: SignedMessage): Buffer {
  const { body, nonce, sentAtMs, target } = message;
  return createHmac('sha256', secret)
    .update(`${target}\n${sentAtMs}\n${nonce}\n`)
    .update(body)
    .digest();
}
