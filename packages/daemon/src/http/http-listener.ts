import type {
  IncomingMessage,
  RequestListener,
  Server,
  ServerResponse,
} from 'node:http';
import { createServer } from 'node:http';

import type { Address, Clock } from '@skylarkreach/core/ports';

import type { Connection } from './connection.js';
import { ConnectionEnd } from './connection.js';
import { ConnectionDrain } from './connection-drain.js';
import type { ConnectionLimitOptions } from './connection-limit.js';
import { ConnectionLimit } from './connection-limit.js';
import { Connections } from './connections.js';
import { closeIdleConnections } from './idle-connections.js';
import { LingeringCloser } from './lingering-closer.js';

export interface ListenerOptions {
  readonly address: Address;
  readonly maxHeaderBytes: number;
  readonly headersTimeoutMs: number;
  readonly clock: Clock;
  /** Time for which an idle connection is kept, which callers are told; defaults to that of Node.js. */
  readonly keepAliveTimeoutMs?: number;
  /** Limits on the connections; none by default. */
  readonly limit?: Omit<ConnectionLimitOptions, 'unreadTimeoutMs'>;
}

/** Time in which a listener that closes answers what has arrived: the rest of a request may take 1 s, and its answer as long again. */
const CLOSE_TIMEOUT_MS = 3_000;
/** Time for which a response may stay unread: longer than any sound caller of these listeners pauses. */
const UNREAD_TIMEOUT_MS = 15_000; // the idle timeout of the users' configuration

/** HTTP server bound to one address. */
export class HttpListener {
  private readonly server: Server;
  private readonly connections: Connections;
  private readonly drain: ConnectionDrain;
  private isClosing = false;

  constructor(
    private readonly options: ListenerOptions,
    private readonly listener: RequestListener,
  ) {
    const { clock, headersTimeoutMs, maxHeaderBytes } = options;
    this.server = createServer(
      {
        maxHeaderSize: maxHeaderBytes,
        headersTimeout: headersTimeoutMs,
        requestTimeout: 0,
        keepAliveTimeout: options.keepAliveTimeoutMs,
      },
      (request, response) => {
        this.serve(request, response);
      },
    );
    const { server } = this;
    this.connections = new Connections(server, clock);
    new LingeringCloser(
      server,
      this.connections,
      () => server.keepAliveTimeout,
    );
    closeIdleConnections(server, this.connections, clock);
    if (options.limit !== undefined) {
      new ConnectionLimit(server, this.connections, {
        ...options.limit,
        unreadTimeoutMs: () => UNREAD_TIMEOUT_MS,
      });
    }
    this.drain = new ConnectionDrain(server, this.connections, clock);
  }

  /** Starts to listen and returns the address, with the actual port if 0 was requested. */
  listen(): Promise<Address> {
    return listenOn(this.server, this.options.address);
  }

  /**
   * Answers the requests that have arrived, which the listener may refuse, then
   * stops listening and closes all connections. At the deadline it closes those
   * that are left, whose callers go on to connect or do not read their responses.
   */
  async close(
    deadlineAtMs = this.options.clock.nowMs() + CLOSE_TIMEOUT_MS,
  ): Promise<void> {
    this.isClosing = true;
    for (const connection of this.connections.open) announceEnd(connection);
    this.drain.startDraining();
    const timer = new AbortController();
    const timeout = this.options.clock
      .waitUntil(deadlineAtMs, timer.signal)
      .catch(() => undefined); // closed in time
    await Promise.race([this.drain.close(), timeout]);
    timer.abort();
    this.server.close();
    for (const connection of this.connections.open)
      connection.destroy(ConnectionEnd.Stopped);
  }

  /** Closes all connections immediately. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    // A request that follows those for which its connection was closed.
    if (request.socket.destroyed) return;
    const connection = this.connections.of(request.socket);
    const { ended } = this.connections.track(response, connection);
    void ended.then(() => {
      closeUnlessClosed(response);
    });
    if (this.isClosing) announceEnd(connection);
    this.listener(request, response);
  }
}

/** Closes a response that waits behind another one as its connection closes, which Node.js does not: its handler would go on and keep its memory. */
function closeUnlessClosed(response: ServerResponse): void {
  if (response.closed) return;
  response.destroy();
  response.emit('close');
}

/** Has the last of the responses in progress say that its connection closes after it. */
function announceEnd({ responses }: Connection): void {
  for (const { response } of responses)
    response.shouldKeepAlive = response !== responses.at(-1)?.response;
}

/** Binds a server and returns the address, with the actual port if 0 was requested. */
export async function listenOn(
  server: Server,
  address: Address,
): Promise<Address> {
  const [host, port] = address.split(':');
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, resolve);
  });
  const bound = server.address();
  if (bound === null || typeof bound === 'string') {
    throw new Error(`The server at ${address} is not bound to a port.`);
  }
  return `${bound.address}:${bound.port}`;
}

/** Returns the token of an `Authorization: Bearer` header. */
export function bearerToken(request: IncomingMessage): string | undefined {
  const header = request.headers.authorization;
  return header?.startsWith('Bearer ') === true
    ? header.slice('Bearer '.length)
    : undefined;
}
