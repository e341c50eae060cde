import { buildConnector, Pool } from 'undici';

import type {
  EndpointAnswer,
  EndpointCall,
  EndpointRecord,
  ForwardProtocol,
  Upstream,
} from '@skylarkreach/core/forwarding';
import { AnswerLostError, NotSentError } from '@skylarkreach/core/ports';

import { isConnectError } from '../adapters/index.js';

/** Time in which an endpoint on the same network takes a connection. */
const CONNECT_TIMEOUT_MS = 1_000; // callers allow a new connection the same
/** Time for which an idle connection is used again where the endpoint states none. */
const KEEP_ALIVE_MS = 4_000; // the shortest idle timeout in common use is 5 s
/** Time before the stated end of an idle connection at which it is given up. */
const KEEP_ALIVE_MARGIN_MS = 1_000; // endpoints state whole seconds
const MAX_HEADER_BYTES = 65_536;
/** Errors of the system by which a connection ends otherwise than by its endpoint's wish. */
const RESET_CODES: ReadonlySet<string> = new Set([
  'ECONNRESET',
  'EPIPE',
  'ETIMEDOUT',
]);

/** Connections to one endpoint. */
interface EndpointConnections {
  readonly pool: Pool;
  /** Connections that the endpoint has reset so far. */
  resets: number;
}

/** Sends requests to endpoints, over connections that are kept for each lifetime of an endpoint. */
export class EndpointClient implements Upstream {
  private readonly connections = new Map<string, EndpointConnections>();

  constructor(private readonly protocol: ForwardProtocol) {}

  async send(call: EndpointCall, signal: AbortSignal): Promise<EndpointAnswer> {
    const { endpoint } = call;
    const connections = this.connectionsTo(endpoint);
    // Read before the send: the head of an answer and a reset may arrive together.
    const resetsBefore = connections.resets;
    try {
      const response = await connections.pool.request({
        method: call.method,
        path: call.target,
        headers: [...call.headers],
        body: call.body ?? null,
        signal,
        responseHeaders: 'raw',
      });
      const headers = rawHeaders(response.headers);
      const isFramed = hasFraming(headers);
      return {
        status: response.statusCode,
        headers,
        traits: this.protocol.readAnswer(response.statusCode, headers),
        isFramed,
        body: isFramed
          ? response.body
          : wholeUnlessReset(response.body, connections, resetsBefore),
      };
    } catch (error) {
      const message = `${endpoint.id} gave no answer (${String(error)}).`;
      throw isConnectError(error)
        ? new NotSentError(message, { cause: error })
        : new AnswerLostError(message, { cause: error });
    }
  }

  /** Gives up the connections to endpoints that are gone; requests in flight end first. */
  keepOnly(ids: ReadonlySet<string>): void {
    for (const [id, { pool }] of this.connections) {
      if (ids.has(id)) continue;
      this.connections.delete(id);
      // A connection that was broken off needs no second report.
      void pool.close().catch(() => undefined);
    }
  }

  async close(): Promise<void> {
    const pools = [...this.connections.values()].map(each => each.pool);
    this.connections.clear();
    await Promise.all(pools.map(pool => pool.destroy()));
  }

  private connectionsTo(endpoint: EndpointRecord): EndpointConnections {
    const known = this.connections.get(endpoint.id);
    if (known !== undefined) return known;
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    const pool = new Pool(`http://${endpoint.address}`, {
      connect: (options, callback) => {
        connect(options, (...result) => {
          const [, socket] = result;
          socket?.on('error', (error: NodeJS.ErrnoException) => {
            // An orderly end is an error of undici's own.
            if (RESET_CODES.has(error.code ?? '')) connections.resets += 1;
          });
          callback(...result);
        });
      },
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
    });
    const connections: EndpointConnections = { pool, resets: 0 };
    this.connections.set(endpoint.id, connections);
    return connections;
  }
}

/** Whether an answer tells its end itself; another one ends with its connection. */
function hasFraming(headers: readonly string[]): boolean {
  return headers.some(
    (name, index) =>
      index % 2 === 0 && /^(content-length|transfer-encoding)$/i.test(name),
  );
}

/**
 * The body of an answer that ends with its connection. undici takes a reset for
 * such an end; a reset on any connection to the endpoint makes it doubtful.
 */
async function* wholeUnlessReset(
  body: AsyncIterable<Uint8Array>,
  connections: EndpointConnections,
  resetsBefore: number,
): AsyncGenerator<Uint8Array> {
  yield* body;
  if (connections.resets === resetsBefore) return;
  throw new AnswerLostError(
    'The connection was reset within an answer without a length.',
  );
}

/** With `responseHeaders: 'raw'` undici gives names and values in turn. */
function rawHeaders(headers: unknown): readonly string[] {
  if (!Array.isArray(headers)) return [];
  return headers.map(each => String(each));
}
