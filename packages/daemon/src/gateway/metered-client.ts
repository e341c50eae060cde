import type { Socket } from 'node:net';

import type { buildConnector, Dispatcher } from 'undici';
import { Client } from 'undici';

/** Bytes that a response may have besides those of its body: head, framing, and what waits in buffers. */
const MAX_OVERHEAD_BYTES = 262_144; // four times the largest head
/** Framing that each byte of a body may have: a chunk of one byte has a length and two line ends. */
const MAX_FRAMING_BYTES_PER_BODY_BYTE = 8;

/**
 * Counts the bytes that a connection receives for one response, and destroys
 * the connection once they exceed what the response can need. The HTTP parser
 * has no limit of its own for a status text, informational responses and chunk
 * extensions.
 */
export class ResponseMeter {
  private socket: Socket | undefined;
  private bytesBefore = 0;
  private bodyBytes = 0;

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
  }

  recordBody(bytes: number): void {
    this.bodyBytes += bytes;
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

/** HTTP client with one connection, whose responses are metered. */
export class MeteredClient extends Client {
  constructor(
    origin: string | URL,
    options: Client.Options,
    connect: buildConnector.connector,
    private readonly metersByRequest: WeakMap<object, ResponseMeter>,
    private readonly meter = new ResponseMeter(),
  ) {
    super(origin, {
      ...options,
      connect: (target, callback) => {
        connect(target, (...result) => {
          const [, socket] = result;
          if (socket) meter.attach(socket);
          callback(...result);
        });
      },
    });
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    this.meter.start();
    this.metersByRequest.set(options, this.meter);
    return super.dispatch(options, handler);
  }
}
