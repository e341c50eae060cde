import type { Socket } from 'node:net';

import type { buildConnector, Dispatcher } from 'undici';
import type { Client } from 'undici';

import type { RequestHandler, WriteCondition } from '../adapters/index.js';
import { RevocableClient } from '../adapters/index.js';
import { nextPoll } from '../http/index.js';
import { BodyFraming, bodyFraming } from './body-framing.js';
import { isLongUpload, UploadEndGuard } from './upload-end-guard.js';

/** Bytes that a response may have besides those of its body: head, framing, and what waits in buffers. */
const MAX_OVERHEAD_BYTES = 262_144; // four times the largest head
/** Framing that each byte of a body may have: a chunk of one byte has a length and two line ends. */
const MAX_FRAMING_BYTES_PER_BODY_BYTE = 8;
/** Chunks that a body may have at once, and the sizes and times by which it may have further ones: each costs processor time, whatever its size. */
const CHUNK_BURST = 2_048;
const BODY_BYTES_PER_CHUNK = 64;
const CHUNK_INTERVAL_MS = 5; // engines send an event in each step, of several milliseconds

/**
 * Counts the bytes and chunks that a connection receives for one response, and
 * destroys the connection once they exceed what the response can need. The HTTP
 * parser has no limit of its own for a status text, informational responses,
 * chunk extensions and the number of chunks.
 */
export class ResponseMeter {
  private socket: Socket | undefined;
  private bytesBefore = 0;
  private bodyBytes = 0;
  private chunks = 0;
  private startedAtMs = 0;

  attach(socket: Socket): void {
    this.socket = socket;
    this.bytesBefore = 0;
    socket.on('readable', () => {
      this.check(socket);
    });
  }

  /** Begins the next response on the connection. */
  start(): void {
    this.bytesBefore = this.socket?.bytesRead ?? 0;
    this.bodyBytes = 0;
    this.chunks = 0;
    this.startedAtMs = performance.now();
  }

  /** Records a part of the body as the parser finds it: a chunk, or what was received of it. */
  recordBody(bytes: number): void {
    this.bodyBytes += bytes;
    this.chunks += 1;
    const elapsedMs = performance.now() - this.startedAtMs;
    const allowedChunks =
      CHUNK_BURST +
      this.bodyBytes / BODY_BYTES_PER_CHUNK +
      elapsedMs / CHUNK_INTERVAL_MS;
    if (this.chunks <= allowedChunks) return;
    this.socket?.destroy(
      new Error(
        `The endpoint sent ${this.bodyBytes} bytes of a body in ${this.chunks} chunks.`,
      ),
    );
  }

  private check(socket: Socket): void {
    const receivedBytes = socket.bytesRead - this.bytesBefore;
    const allowedBytes =
      MAX_OVERHEAD_BYTES +
      this.bodyBytes * (1 + MAX_FRAMING_BYTES_PER_BODY_BYTE);
    if (receivedBytes <= allowedBytes) return;
    socket.destroy(
      new Error(
        `The endpoint sent ${receivedBytes} bytes for ${this.bodyBytes} bytes of a body.`,
      ),
    );
  }
}

/** Thrown where a request is about to be sent to an endpoint that no longer accepts it, or that ends a new connection at once. */
export class EndpointWithdrawnError extends Error {
  override readonly name = 'EndpointWithdrawnError';
}

/** What a connection needs to know of a request. */
export interface RequestContext extends WriteCondition {
  /** Asked when a connection is established. */
  readonly isEndpointUsable: () => boolean;
}

/**
 * HTTP client with one connection, whose responses are metered. A request that
 * waits for the connection fails where its endpoint is no longer usable by then.
 */
export class MeteredClient extends RevocableClient {
  constructor(
    origin: string | URL,
    options: Client.Options,
    connect: buildConnector.connector,
    /** Contexts by the options of the request. */
    private readonly contexts: WeakMap<object, RequestContext>,
    private readonly meter = new ResponseMeter(),
    /** Context of the request that was dispatched last, until it ends: it refers to the request's body, and idle clients stay in their pool. */
    private readonly last: { context?: RequestContext | undefined } = {},
    private readonly endGuard = new UploadEndGuard(),
  ) {
    const connectMetered: buildConnector.connector = (target, callback) => {
      connect(target, (...result) => {
        const [, socket] = result;
        if (!socket) {
          callback(...result);
          return;
        }
        // A daemon that is behind reads the end of the request after its connection.
        void nextPoll().then(() => {
          if (last.context?.isEndpointUsable() === false || socket.destroyed) {
            socket.destroy();
            const error = new EndpointWithdrawnError('The endpoint leaves.');
            callback(error, null);
            return;
          }
          meter.attach(socket);
          endGuard.attach(socket);
          callback(null, socket);
        });
      });
    };
    super(origin, options, connectMetered, contexts);
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    this.meter.start();
    const context = this.contexts.get(options);
    if (context !== undefined) {
      this.last.context = context;
      onEnd(handler, () => {
        if (this.last.context === context) this.last.context = undefined;
      });
    }
    meterBody(handler, this.meter);
    this.guardEnd(options, handler);
    return super.dispatch(options, handler);
  }

  /** Tells the guard of the connection's end about the request and what delimits its response. */
  private guardEnd(
    { body, method }: Dispatcher.DispatchOptions,
    handler: RequestHandler,
  ): void {
    if (!isLongUpload(body)) return;
    const { endGuard } = this;
    const onHeaders = handler.onHeaders?.bind(handler);
    handler.onHeaders = (status, rawHeaders, ...rest) => {
      const headers = rawHeaders.map(text => text.toString('latin1'));
      const framing = bodyFraming(method, status, headers);
      endGuard.recordHead(framing === BodyFraming.ConnectionEnd);
      return onHeaders?.(status, rawHeaders, ...rest) ?? true;
    };
    onEnd(handler, () => {
      endGuard.recordEnd();
    });
  }
}

/** Calls the listener once the request has succeeded or failed. */
function onEnd(handler: RequestHandler, listener: () => void): void {
  const onComplete = handler.onComplete?.bind(handler);
  const onError = handler.onError?.bind(handler);
  handler.onComplete = trailers => {
    listener();
    onComplete?.(trailers);
  };
  handler.onError = error => {
    listener();
    onError?.(error);
  };
}

/** Makes the handler record each part of a body before it is buffered. */
function meterBody(handler: RequestHandler, meter: ResponseMeter): void {
  const onData = handler.onData?.bind(handler);
  if (onData === undefined) return;
  handler.onData = chunk => {
    meter.recordBody(chunk.length);
    return onData(chunk);
  };
}
