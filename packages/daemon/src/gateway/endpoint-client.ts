import type { Socket } from 'node:net';

import type { buildConnector, Dispatcher } from 'undici';
import { errors, Pool } from 'undici';

import type {
  EndpointRecord,
  EndpointRequest,
  EndpointResponse,
  ForwardProtocol,
  Upstream,
} from '@skylarkreach/core/forwarding';
import type { Address } from '@skylarkreach/core/ports';
import { AnswerLostError, NotSentError } from '@skylarkreach/core/ports';
import type { ConnectionProbe } from '@skylarkreach/core/reachability';

import {
  ConnectionResetError,
  createConnector,
  isConnectError,
  RequestWithheldError,
  wasReset,
} from '../adapters/index.js';
import { nextPoll } from '../http/index.js';
import { BodyFraming, bodyFraming } from './body-framing.js';
import type { RequestContext } from './metered-client.js';
import { EndpointWithdrawnError, MeteredClient } from './metered-client.js';
import { ResponseReader } from './response-reader.js';

/** Time within which an endpoint on the same network accepts a connection. */
const CONNECT_TIMEOUT_MS = 1_000; // the same as callers allow for a new connection
/** Time within which a probed endpoint has to accept a connection. */
const PROBE_TIMEOUT_MS = 300; // a retransmitted opening packet comes after a second
/** Time for which a new connection stays open at an endpoint that takes requests. */
const MIN_OPEN_MS = 100; // a proxy learns within a round trip that nothing listens behind it
/** Time for which an idle connection is reused if the endpoint states no keep-alive timeout. */
const KEEP_ALIVE_TIMEOUT_MS = 4_000; // the shortest idle timeout in common use is 5 s
/** Time before the stated keep-alive timeout at which an idle connection is closed. */
const KEEP_ALIVE_MARGIN_MS = 1_000; // endpoints state the timeout in whole seconds
const MAX_HEADER_BYTES = 65_536;
/** Bytes of a body that are buffered before they are read. */
const MAX_UNREAD_BYTES = 16_384;
/** System error codes of a connection that broke instead of being closed by its endpoint. */
const RESET_CODES: ReadonlySet<string> = new Set(['EPIPE', 'ETIMEDOUT']);

/** Result of an attempt to connect to an endpoint. */
enum ConnectResult {
  Accepted = 'accepted',
  Refused = 'refused',
  /** It was ended before anything was sent on it. */
  Ended = 'ended',
  /** The connection failed in another way, or was not established in time. */
  Failed = 'failed',
}

/** Opens connections to endpoints. */
export type EndpointConnector = buildConnector.connector;

/** Connection pool of one endpoint. */
interface EndpointConnections {
  readonly address: Address;
  readonly pool: Pool;
  /** Number of connections that have been reset so far. */
  resetCount: number;
}

/** HTTP client for endpoints, with one connection pool for each lifetime of an endpoint. */
export class EndpointClient implements Upstream, ConnectionProbe {
  private readonly connections = new Map<string, EndpointConnections>();
  /** Contexts of requests, by the options of the request. */
  private readonly contexts = new WeakMap<object, RequestContext>();

  constructor(
    private readonly protocol: ForwardProtocol,
    private readonly connect: EndpointConnector = createConnector({
      timeout: CONNECT_TIMEOUT_MS,
    }),
    /** Called when a connection to an endpoint is refused or reset. */
    private readonly onConnectionFailure: (
      endpoint: EndpointRecord,
    ) => void = () => undefined,
  ) {}

  /**
   * Sends a request and resolves with the response head. Throws `NotSentError`
   * if no connection was or can be established, `AnswerLostError` on any other
   * failure.
   */
  async send(
    call: EndpointRequest,
    signal: AbortSignal,
  ): Promise<EndpointResponse> {
    const { endpoint } = call;
    const connections = this.connectionsFor(endpoint);
    // Read before sending: a response head and a reset may arrive together.
    const resetsBefore = connections.resetCount;
    try {
      const options: Dispatcher.DispatchOptions = {
        method: call.method,
        path: call.target,
        headers: [...call.headers],
        body: call.body ?? null,
      };
      const { isEndpointUsable, mayWrite = () => true } = call;
      const context: RequestContext = { isEndpointUsable, mayWrite };
      this.contexts.set(options, context);
      const reader = new ResponseReader(signal, MAX_UNREAD_BYTES);
      connections.pool.dispatch(options, reader);
      const { headers, status } = await reader.head;
      const framing = bodyFraming(call.method, status, headers);
      if (framing === BodyFraming.Unknown)
        throw new Error('The response has an unknown transfer coding.');
      const isFramed = framing === BodyFraming.Explicit;
      return {
        status,
        headers,
        metadata: this.protocol.readResponse(status, headers),
        isFramed,
        body: isFramed
          ? reader
          : failOnReset(reader, connections, resetsBefore),
      };
    } catch (error) {
      const message = `Endpoint ${endpoint.id} did not respond (${String(error)}).`;
      throw isUnsent(error)
        ? new NotSentError(message, { cause: error })
        : new AnswerLostError(message, { cause: error });
    }
  }

  async refusesConnections({ address }: EndpointRecord): Promise<boolean> {
    const result = await this.tryConnect(address, CONNECT_TIMEOUT_MS);
    return result === ConnectResult.Refused;
  }

  async dropsConnections({ address }: EndpointRecord): Promise<boolean> {
    const result = await this.tryConnect(
      address,
      CONNECT_TIMEOUT_MS,
      watchOpening,
    );
    return result === ConnectResult.Refused || result === ConnectResult.Ended;
  }

  async acceptsConnections({
    address,
  }: Pick<EndpointRecord, 'address'>): Promise<boolean> {
    const result = await this.tryConnect(address, PROBE_TIMEOUT_MS);
    return result === ConnectResult.Accepted;
  }

  /** Closes the connections to all endpoints but those given, after their requests in flight. */
  retainEndpoints(ids: ReadonlySet<string>): void {
    for (const [id, connections] of this.connections) {
      if (ids.has(id)) continue;
      this.connections.delete(id);
      closeGracefully(connections);
    }
  }

  /** Closes all connections at once; requests in flight fail. */
  async close(): Promise<void> {
    const pools = [...this.connections.values()].map(
      connections => connections.pool,
    );
    this.connections.clear();
    await Promise.all(pools.map(pool => pool.destroy()));
  }

  /** Opens a connection, which `inspect` closes. */
  private tryConnect(
    address: Address,
    timeoutMs: number,
    inspect = closeAtOnce,
  ): Promise<ConnectResult> {
    const origin = originOf(address);
    if (origin === undefined) return Promise.resolve(ConnectResult.Failed);
    const { hostname, port, protocol } = origin;
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        // A daemon that was held up may have to read the result first.
        void nextPoll().then(() => {
          resolve(ConnectResult.Failed);
        });
      }, timeoutMs);
      this.connect({ hostname, port, protocol }, (...[error, socket]) => {
        clearTimeout(timer);
        const { code } = (error ?? {}) as NodeJS.ErrnoException;
        if (error === null) resolve(inspect(socket));
        else if (code === 'ECONNREFUSED') resolve(ConnectResult.Refused);
        else if (code === 'ECONNRESET') resolve(ConnectResult.Ended);
        else resolve(ConnectResult.Failed);
      });
    });
  }

  private connectionsFor(endpoint: EndpointRecord): EndpointConnections {
    const known = this.connections.get(endpoint.id);
    if (known?.address === endpoint.address) return known;
    const origin = originOf(endpoint.address);
    if (origin === undefined)
      throw new NotSentError(
        `Endpoint ${endpoint.id} has the address '${endpoint.address}', which cannot be used.`,
      );
    // An endpoint may start again under its id at another address.
    if (known !== undefined) closeGracefully(known);
    const connectAndCountResets: buildConnector.connector = (
      options,
      callback,
    ) => {
      this.connect(options, (...result) => {
        const [error, socket] = result;
        if (error === null) {
          onReset(socket, () => {
            connections.resetCount += 1;
            this.onConnectionFailure(endpoint);
          });
        } else if (isRefusedOrReset(error)) {
          this.onConnectionFailure(endpoint);
        }
        callback(...result);
      });
    };
    const pool = new Pool(origin, {
      factory: (poolOrigin, options) =>
        new MeteredClient(
          poolOrigin,
          options,
          connectAndCountResets,
          this.contexts,
        ),
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
    });
    const connections: EndpointConnections = {
      address: endpoint.address,
      pool,
      resetCount: 0,
    };
    this.connections.set(endpoint.id, connections);
    return connections;
  }
}

/** Returns whether the error shows that no byte of the request was sent. */
function isUnsent(error: unknown): boolean {
  return (
    isConnectError(error) ||
    error instanceof EndpointWithdrawnError ||
    error instanceof RequestWithheldError ||
    // undici checks the arguments of a request before it connects.
    error instanceof errors.InvalidArgumentError
  );
}

/** Returns whether a connection failed since the endpoint refused or reset it. */
function isRefusedOrReset(error: Error): boolean {
  const { code } = error as NodeJS.ErrnoException;
  return code === 'ECONNREFUSED' || code === 'ECONNRESET';
}

/** Returns the origin of an address; undefined unless it consists of a host and a port. */
function originOf(address: Address): URL | undefined {
  const text = `http://${address}`;
  if (!URL.canParse(text)) return undefined;
  const url = new URL(text);
  return url.href === `${url.origin}/` ? url : undefined;
}

/** Calls `listener` before undici takes notice of a reset of the connection. */
function onReset(socket: Socket, listener: () => void): void {
  socket.on('error', (error: NodeJS.ErrnoException) => {
    // undici reports an orderly close with an error code of its own.
    const isReset =
      error instanceof ConnectionResetError ||
      RESET_CODES.has(error.code ?? '');
    if (isReset) listener();
  });
  socket.on('end', () => {
    // libuv reports a reset that arrives together with data as an end.
    if (wasReset(socket)) listener();
  });
}

function closeAtOnce(socket: Socket): Promise<ConnectResult> {
  socket.destroy();
  return Promise.resolve(ConnectResult.Accepted);
}

/** Closes a new connection after `MIN_OPEN_MS`, and resolves with whether the endpoint had ended it before. */
function watchOpening(socket: Socket): Promise<ConnectResult> {
  return new Promise(resolve => {
    const end = (result: ConnectResult) => {
      clearTimeout(timer);
      resolve(result);
      socket.destroy();
    };
    const timer = setTimeout(() => {
      // A daemon that was held up may have to read the end first.
      void nextPoll().then(() => {
        end(ConnectResult.Accepted);
      });
    }, MIN_OPEN_MS);
    const onEnd = () => {
      end(ConnectResult.Ended);
    };
    socket.on('error', onEnd).on('end', onEnd).on('close', onEnd).resume();
  });
}

function closeGracefully({ pool }: EndpointConnections): void {
  // The requests of a broken connection have already failed with its error.
  void pool.close().catch(() => undefined);
}

/**
 * Passes on a body that ends when its connection closes. undici treats a reset
 * as such an end, so a reset of any connection to the endpoint since the request
 * was sent throws `AnswerLostError` after the last chunk.
 */
async function* failOnReset(
  body: AsyncIterable<Uint8Array>,
  connections: EndpointConnections,
  resetsBefore: number,
): AsyncGenerator<Uint8Array> {
  yield* body;
  if (connections.resetCount === resetsBefore) return;
  throw new AnswerLostError(
    'The connection was reset during a response without content-length or transfer-encoding.',
  );
}
