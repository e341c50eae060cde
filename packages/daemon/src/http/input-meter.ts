import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** Bytes of a request line besides its method and target: two spaces, the version and the line end. */
const REQUEST_LINE_BYTES = 12;
/** Bytes of a header line besides its name and value, without optional white space. */
const HEADER_LINE_BYTES = 3;
const LINE_END_BYTES = 2;
/** Bytes of a chunk besides its data and its length: two line ends. */
const CHUNK_BYTES = 4;
/** The chunk that ends a body: a length of 0 and two line ends. */
const LAST_CHUNK_BYTES = 5;
const HEXADECIMAL = 16;

/**
 * Measures how much was read on a connection after the requests that were read
 * whole: the next head in part. Node.js reads several requests at a time and does not tell where
 * each ends, so that their sizes are computed from what was parsed.
 */
export class InputMeter {
  /** End of the last request, as an offset in all bytes read; its body may not have been read yet. */
  private endBytes = 0;
  /** White space of headers that may not be included. */
  private uncertainBytes = 0;
  /** The last request, until its response has ended; it would keep the body that was read. */
  private last: IncomingMessage | undefined;

  constructor(private readonly socket: Pick<Socket, 'bytesRead'>) {}

  /** Bytes of a head that was read in part. */
  get partialHeadBytes(): number {
    if (this.last?.complete === false) return 0;
    return Math.max(0, this.socket.bytesRead - this.endBytes);
  }

  /** Adds a request whose head was parsed, before its body is read. */
  add(request: IncomingMessage): void {
    const { headers, rawHeaders } = request;
    this.last = request;
    this.endBytes += headBytesOf(request);
    this.uncertainBytes += rawHeaders.length / 2;
    if (headers['transfer-encoding'] !== undefined) this.countChunks(request);
    else this.endBytes += Number(headers['content-length'] ?? 0);
  }

  /** Called when the response to the last request has ended. */
  settle(): void {
    const { bytesRead } = this.socket;
    if (this.last?.complete === false) {
      this.endBytes = Math.max(this.endBytes, bytesRead);
      return;
    }
    this.last = undefined;
    if (this.partialHeadBytes > this.uncertainBytes) return;
    this.endBytes = bytesRead;
    this.uncertainBytes = 0;
  }

  private countChunks(request: IncomingMessage): void {
    this.endBytes += LAST_CHUNK_BYTES;
    const push = request.push.bind(request);
    request.push = (chunk: Uint8Array | null, encoding) => {
      const bytes = chunk?.length ?? 0;
      if (bytes > 0)
        this.endBytes +=
          bytes + bytes.toString(HEXADECIMAL).length + CHUNK_BYTES;
      return push(chunk, encoding);
    };
  }
}

/** Returns the size of a head without the optional white space of its headers. */
function headBytesOf({ method, rawHeaders, url }: IncomingMessage): number {
  let bytes = REQUEST_LINE_BYTES + LINE_END_BYTES;
  bytes += (method?.length ?? 0) + (url?.length ?? 0);
  for (const text of rawHeaders) bytes += text.length;
  return bytes + (rawHeaders.length / 2) * HEADER_LINE_BYTES;
}
