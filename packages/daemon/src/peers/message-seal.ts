import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

import type { Address, Clock } from '@skylarkreach/core/ports';

/** Header names of a sealed message. */
export enum SealHeader {
  SentAt = 'x-sent-at',
  Nonce = 'x-nonce',
  Signature = 'x-signature',
}

/** Why a peer's message is refused. */
export enum SealFault {
  /** A header is missing or the signature does not match. */
  Unauthenticated = 'unauthenticated',
  /** The message is older, or newer, than clocks may differ. */
  OutsideWindow = 'outsideWindow',
  /** A message with this nonce was taken before. */
  Replayed = 'replayed',
}

/** What the signature covers. */
export interface SealedMessage {
  readonly target: Address;
  readonly sentAtMs: number;
  readonly nonce: string;
  readonly body: string;
}

/** Largest difference between a message's time and the receiver's clock. */
const WINDOW_MS = 30_000;
const NONCE_BYTES = 9;
/** Most nonces remembered for one window. */
const MAX_NONCES = 200_000;

export type SealHeaders = Readonly<Record<SealHeader, string>>;

/** Signs messages with the peers' credential (HMAC-SHA-256). The credential itself is not sent. */
export class MessageSealer {
  constructor(
    private readonly peerSecret: string,
    private readonly clock: Clock,
  ) {}

  seal(target: Address, body: string): SealHeaders {
    const sentAtMs = Math.floor(this.clock.nowMs());
    const nonce = randomBytes(NONCE_BYTES).toString('base64url');
    const message = { target, sentAtMs, nonce, body };
    return {
      [SealHeader.SentAt]: String(sentAtMs),
      [SealHeader.Nonce]: nonce,
      [SealHeader.Signature]: sign(this.peerSecret, message).toString(
        'base64url',
      ),
    };
  }
}

/** Checks signed messages and refuses each one that was taken before. */
export class MessageVerifier {
  private recent = new Set<string>();
  private earlier = new Set<string>();
  private turnAtMs = 0;

  constructor(
    private readonly peerSecret: string,
    private readonly clock: Clock,
  ) {}

  /** The fault of a message, or undefined where it may be taken. */
  check(message: SealedMessage, signature: string): SealFault | undefined {
    const expected = sign(this.peerSecret, message);
    const given = Buffer.from(signature, 'base64url');
    const isAuthentic =
      given.length === expected.length && timingSafeEqual(given, expected);
    if (!isAuthentic) return SealFault.Unauthenticated;
    const nowMs = this.clock.nowMs();
    if (Math.abs(nowMs - message.sentAtMs) > WINDOW_MS) {
      return SealFault.OutsideWindow;
    }
    return this.remember(message.nonce, nowMs);
  }

  /** Two generations of nonces together cover the window before and after the present. */
  private remember(nonce: string, nowMs: number): SealFault | undefined {
    if (nowMs >= this.turnAtMs) {
      this.earlier =
        nowMs >= this.turnAtMs + 2 * WINDOW_MS ? new Set() : this.recent;
      this.recent = new Set();
      this.turnAtMs = nowMs + 2 * WINDOW_MS;
    }
    const isKnown = this.recent.has(nonce) || this.earlier.has(nonce);
    if (isKnown || this.recent.size >= MAX_NONCES) return SealFault.Replayed;
    this.recent.add(nonce);
    return undefined;
  }
}

function sign(secret: string, message: SealedMessage): Buffer {
  const { body, nonce, sentAtMs, target } = message;
  return createHmac('sha256', secret)
    .update(`${target}\n${sentAtMs}\n${nonce}\n`)
    .update(body)
    .digest();
}
