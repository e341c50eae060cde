import type { IncomingMessage } from 'node:http';

/** Why a request body could not be read. */
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
  /** Aborted once the caller has taken too long. */
  readonly timeout: AbortSignal;
}

/** Reads a text of bounded size in bounded time. Throws `BodyError`. */
export async function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<string> {
  return (await readBytes(request, limits)).toString('utf8');
}

/** Reads a body of bounded size in bounded time. Throws `BodyError`. */
export function readBytes(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const fail = (kind: BodyErrorKind, message: string) => {
      request.removeAllListeners('data');
      request.pause();
      reject(new BodyError(message, kind));
    };
    const onTimeout = () => {
      fail(BodyErrorKind.TooSlow, 'The body did not arrive in time.');
    };
    if (limits.timeout.aborted) {
      onTimeout();
      return;
    }
    limits.timeout.addEventListener('abort', onTimeout, { once: true });
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > limits.maxBytes) {
        fail(
          BodyErrorKind.TooLarge,
          `The body is over ${limits.maxBytes} bytes.`,
        );
      } else {
        chunks.push(chunk);
      }
    });
    request.on('end', () => {
      limits.timeout.removeEventListener('abort', onTimeout);
      resolve(Buffer.concat(chunks));
    });
    const onCut = () => {
      if (request.complete) return;
      fail(BodyErrorKind.CutOff, 'The connection closed within the body.');
    };
    request.on('error', onCut);
    request.on('close', onCut);
  });
}
