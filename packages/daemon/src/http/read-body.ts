import type { IncomingMessage } from 'node:http';

import type { RequestShare } from '@skylarkreach/core/forwarding';
import { BodyBuffer } from '@skylarkreach/core/forwarding';

import { nextPoll } from './next-poll.js';
import { readGarbage } from './read-garbage.js';

/** Reason why a request body could not be read. */
export enum BodyErrorKind {
  TooLarge = 'tooLarge',
  TooSlow = 'tooSlow',
  CutOff = 'cutOff',
  /** The daemon has no memory for the body. */
  NoMemory = 'noMemory',
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
  /** Account of the memory that the body takes; undefined if only its size is bounded. */
  readonly memory?: RequestShare | undefined;
}

/** Reads a body as UTF-8 text, within limits of size and time. Throws `BodyError`. */
export async function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<string> {
  return (await readBytes(request, limits)).toString('utf8');
}

/** Reads a body within limits of size, time and memory. Throws `BodyError`. */
export function readBytes(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Buffer> {
  const { maxBytes, memory, timeout } = limits;
  const onEvictedElse = memory?.onEvicted;
  return new Promise((resolve, reject) => {
    // Chunks are copied: each would otherwise be an object of its own.
    const body = new BodyBuffer(maxBytes);
    const settle = () => {
      request.removeAllListeners('data');
      timeout.removeEventListener('abort', onTimeout);
      if (memory !== undefined && onEvictedElse !== undefined)
        memory.onEvicted = onEvictedElse;
    };
    const fail = (kind: BodyErrorKind, message: string) => {
      settle();
      body.discard();
      request.pause();
      reject(new BodyError(message, kind));
    };
    const onEvicted = () => {
      fail(BodyErrorKind.NoMemory, 'The daemon has no memory for the body.');
    };
    const onTimeout = () => {
      // What arrived while this daemon was behind is read first.
      void nextPoll().then(() => {
        if (request.complete) return;
        fail(BodyErrorKind.TooSlow, 'The body did not arrive in time.');
      });
    };
    if (timeout.aborted) onTimeout();
    else timeout.addEventListener('abort', onTimeout, { once: true });
    if (memory !== undefined) memory.onEvicted = onEvicted;
    request.on('data', (chunk: Buffer) => {
      readGarbage.add(chunk);
      if (!body.fits(chunk)) {
        const message = `The body exceeds ${maxBytes} bytes.`;
        fail(BodyErrorKind.TooLarge, message);
        return;
      }
      const neededBytes = body.capacityWith(chunk);
      const isRefused =
        neededBytes > body.capacity && memory?.tryHold(neededBytes) === false;
      if (isRefused) onEvicted();
      else body.append(chunk);
    });
    request.on('end', () => {
      settle();
      resolve(body.take());
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
