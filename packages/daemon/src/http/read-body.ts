import type { IncomingMessage } from 'node:http';

import { nextPoll } from './next-poll.js';

/** Reason why a request body could not be read. */
export enum BodyErrorKind {
  TooLarge = 'tooLarge',
  TooSlow = 'tooSlow',
  CutOff = 'cutOff',
}

export class BodyError extends Error {
  override readonly name = 'BodyError';

  constructor(
    message: string,
    readonly kind: BodyErrorKind,
  ) {
    super(message);
  }
}

export interface BodyLimits {
  readonly maxBytes: number;
  /** Signal that is aborted when the time to receive the body is over. */
  readonly timeout: AbortSignal;
}

/** Reads a body as UTF-8 text, within limits of size and time. Throws `BodyError`. */
export async function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<string> {
  return (await readBytes(request, limits)).toString('utf8');
}

/** Reads a body within limits of size and time. Throws `BodyError`. */
export function readBytes(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    const fail = (kind: BodyErrorKind, message: string) => {
      request.removeAllListeners('data');
      request.pause();
      reject(new BodyError(message, kind));
    };
    const onTimeout = () => {
      // What arrived while this daemon was behind is read first.
      void nextPoll().then(() => {
        if (request.complete) return;
        fail(BodyErrorKind.TooSlow, 'The body did not arrive in time.');
      });
    };
    if (limits.timeout.aborted) onTimeout();
    else limits.timeout.addEventListener('abort', onTimeout, { once: true });
    request.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length;
      if (receivedBytes > limits.maxBytes) {
        fail(
          BodyErrorKind.TooLarge,
          `The body exceeds ${limits.maxBytes} bytes.`,
        );
      } else {
        chunks.push(chunk);
      }
    });
    request.on('end', () => {
      limits.timeout.removeEventListener('abort', onTimeout);
      resolve(Buffer.concat(chunks));
    });
    const onPrematureClose = () => {
      if (request.complete) return;
      fail(
        BodyErrorKind.CutOff,
        'The connection closed before the body was complete.',
      );
    };
    request.on('error', onPrematureClose);
    request.on('close', onPrematureClose);
  });
}
