import type { ServerResponse } from 'node:http';

import type { RawHeaders, ResponseWriter } from '@skylarkreach/core/forwarding';

import { abortResponse } from '../http/index.js';

/** Size up to which data are copied into one buffer with their framing. */
const MAX_COPIED_BYTES = 16_384; // several events
const HEXADECIMAL = 16;
const LINE_END = '\r\n';
const LAST_CHUNK = '0\r\n\r\n';

/**
 * Answer sink that writes to a caller's HTTP response. It frames chunks itself
 * (RFC 9112, 7.1): Node.js passes the length, the data and the line end of each
 * chunk to the socket one by one.
 */
export class ResponseSink implements ResponseWriter {
  private isChunked = false;

  /** `mustClose` tells whether the connection is to be closed after the response. */
  constructor(
    private readonly response: ServerResponse,
    private readonly mustClose: () => boolean,
  ) {}

  get hasBegun(): boolean {
    return this.response.headersSent;
  }

  begin(status: number, headers: RawHeaders): void {
    const { response } = this;
    response.sendDate = false;
    const connectionHeaders = this.mustClose() ? ['connection', 'close'] : [];
    response.writeHead(status, [...headers, ...connectionHeaders]);
    this.isChunked = response.chunkedEncoding;
    // The head says so already; what is written now is sent as it is.
    response.chunkedEncoding = false;
  }

  write(bytes: Uint8Array): Promise<void> | undefined {
    const { response } = this;
    if (response.destroyed || this.writeFramed(bytes)) return undefined;
    return new Promise(resolve => {
      const settle = () => {
        response.removeListener('drain', settle);
        response.removeListener('close', settle);
        resolve();
      };
      response.once('drain', settle);
      response.once('close', settle);
    });
  }

  end(): void {
    this.response.end(this.isChunked ? LAST_CHUNK : undefined);
  }

  destroy(): void {
    abortResponse(this.response);
  }

  /** Returns whether the response accepts more data. */
  private writeFramed(bytes: Uint8Array): boolean {
    const { response } = this;
    // An empty chunk would end the response.
    if (!this.isChunked || bytes.length === 0) return response.write(bytes);
    const length = bytes.length.toString(HEXADECIMAL) + LINE_END;
    if (bytes.length <= MAX_COPIED_BYTES)
      return response.write(frame(length, bytes));
    response.write(length, 'latin1');
    response.write(bytes);
    return response.write(LINE_END, 'latin1');
  }
}

/** Returns the bytes between a length and a line end. */
function frame(length: string, bytes: Uint8Array): Buffer {
  const lineEndAt = length.length + bytes.length;
  const framed = Buffer.allocUnsafe(lineEndAt + LINE_END.length);
  framed.write(length, 0, 'latin1');
  framed.set(bytes, length.length);
  framed.write(LINE_END, lineEndAt, 'latin1');
  return framed;
}
