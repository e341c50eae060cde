import type { Socket } from 'node:net';

import {
  ConnectionResetError,
  overrideMethod,
  wasReset,
} from '../adapters/index.js';

/** Size of a request's body from which its endpoint may answer before it has read all of it. */
const MIN_UPLOAD_BYTES = 16_384; // smaller ones are mostly read with their head
/** Time for which the end of a connection is held back. */
const HOLD_MS = 100; // an endpoint that closes a connection with unread data resets it within a round trip

/**
 * Holds the end of a connection back while a response that ends with it follows a
 * long request, as an endpoint may send a part of its response, end its side of
 * the connection, and reset it with the request unread. The end becomes a reset if
 * the connection is reset meanwhile, or the endpoint stops reading the request.
 */
export class UploadEndGuard {
  /** Whether the end of the connection ends the response to a long upload that has begun. */
  private isHolding = false;

  /** Watches the connection of one client. */
  attach(socket: Socket): void {
    overrideMethod(
      socket,
      'push',
      push => (chunk: unknown, encoding?: BufferEncoding) => {
        if (chunk !== null || !this.isHolding) return push(chunk, encoding);
        hold(socket, () => push(null));
        return false;
      },
    );
  }

  /** Records what the head of the response to a long upload says; the last one counts, after informational ones. */
  recordHead(isEndDelimited: boolean): void {
    this.isHolding = isEndDelimited;
  }

  /** Records that the request has ended. */
  recordEnd(): void {
    this.isHolding = false;
  }
}

/** Returns whether an endpoint may answer before it has read all of a request's body. */
export function isLongUpload(body: unknown): boolean {
  return body instanceof Uint8Array && body.length >= MIN_UPLOAD_BYTES;
}

/** Ends or resets the connection once it is known which; the end waits while the endpoint reads on. */
function hold(
  socket: Socket,
  pushEnd: () => void,
  unsentBytes = Infinity,
): void {
  setTimeout(() => {
    if (socket.destroyed) return;
    const { writableLength } = socket;
    const isReset = wasReset(socket);
    if (!isReset && writableLength > 0 && writableLength < unsentBytes) {
      hold(socket, pushEnd, writableLength);
    } else if (isReset || writableLength > 0) {
      socket.destroy(
        new ConnectionResetError(
          'The endpoint ended the connection before it had read the request.',
        ),
      );
    } else {
      pushEnd();
      socket.read(0);
    }
  }, HOLD_MS);
}
