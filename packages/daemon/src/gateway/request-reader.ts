import type { IncomingMessage } from 'node:http';

import type { CallerLimits, RequestShare } from '@skylarkreach/core/forwarding';
import { ForwardError, ForwardErrorKind } from '@skylarkreach/core/forwarding';

import { BodyError, BodyErrorKind, readBytes } from '../http/index.js';

const ERROR_KIND_BY_BODY_ERROR: Readonly<
  Record<BodyErrorKind, ForwardErrorKind>
> = {
  [BodyErrorKind.TooLarge]: ForwardErrorKind.BodyTooLarge,
  [BodyErrorKind.TooSlow]: ForwardErrorKind.CallerTooSlow,
  [BodyErrorKind.CutOff]: ForwardErrorKind.BadRequest,
  [BodyErrorKind.NoMemory]: ForwardErrorKind.Overloaded,
};

/** Time after which a request that found no memory may be sent again: that within which sound bodies are read. */
const NO_MEMORY_RETRY_MS = 1_000;

/** Error kinds by the code of the server's `clientError` event; other codes are bad requests. */
const ERROR_KIND_BY_CLIENT_ERROR_CODE: Readonly<
  Record<string, ForwardErrorKind>
> = {
  HPE_HEADER_OVERFLOW: ForwardErrorKind.HeadersTooLarge,
  ERR_HTTP_REQUEST_TIMEOUT: ForwardErrorKind.CallerTooSlow,
};

/** Reads callers' requests within the limits of the current configuration. */
export class RequestReader {
  constructor(private readonly limits: () => CallerLimits) {}

  /** Throws `ForwardError` if the headers are too large. */
  checkHeaders(request: IncomingMessage): void {
    const { maxHeaderBytes } = this.limits();
    let bytes = 0;
    for (const text of request.rawHeaders) bytes += text.length + 2;
    if (bytes <= maxHeaderBytes) return;
    throw new ForwardError(
      ForwardErrorKind.HeadersTooLarge,
      `The headers exceed ${maxHeaderBytes} bytes; send fewer or shorter headers.`,
    );
  }

  /** Returns the body; undefined if the request has none. Throws `ForwardError` or `BodyError`. */
  async readBody(
    request: IncomingMessage,
    memory: RequestShare,
  ): Promise<Uint8Array | undefined> {
    if (!memory.tryHold(0)) throw noMemoryError();
    const { headers } = request;
    const hasBody =
      headers['content-length'] !== undefined ||
      headers['transfer-encoding'] !== undefined;
    if (!hasBody) return undefined;
    const { idleTimeoutMs, maxBodyBytes } = this.limits();
    if (Number(headers['content-length'] ?? 0) > maxBodyBytes) {
      throw new ForwardError(
        ForwardErrorKind.BodyTooLarge,
        `The body exceeds ${maxBodyBytes} bytes; send a smaller body.`,
      );
    }
    return readBytes(request, {
      maxBytes: maxBodyBytes,
      timeout: AbortSignal.timeout(Math.ceil(idleTimeoutMs)),
      memory,
    });
  }
}

/** Returns the error for a request that gets no memory; it has not run. */
export function noMemoryError(): ForwardError {
  return new ForwardError(
    ForwardErrorKind.Overloaded,
    'The requests in progress take all memory of this daemon; send the request again.',
    NO_MEMORY_RETRY_MS,
  );
}

/** Returns the kind of error for the code of a `clientError` event. */
export function kindOfClientError(code: string): ForwardErrorKind {
  return ERROR_KIND_BY_CLIENT_ERROR_CODE[code] ?? ForwardErrorKind.BadRequest;
}

/** Returns the error that a caller gets; one of this daemon's own code counts as a failure of the endpoint. */
export function toForwardError(error: unknown): ForwardError {
  if (error instanceof ForwardError) return error;
  if (error instanceof BodyError) {
    if (error.kind === BodyErrorKind.NoMemory) return noMemoryError();
    return new ForwardError(
      ERROR_KIND_BY_BODY_ERROR[error.kind],
      error.message,
    );
  }
  return new ForwardError(
    ForwardErrorKind.EndpointFailed,
    'The gateway failed with an internal error; the request may have run.',
  );
}
