import { Pool } from 'undici';

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

/** Sends requests to endpoints, over connections that are kept for each lifetime of an endpoint. */
export class EndpointClient implements Upstream {
  private readonly pools = new Map<string, Pool>();

  constructor(private readonly protocol: ForwardProtocol) {}

  async send(call: EndpointCall, signal: AbortSignal): Promise<EndpointAnswer> {
    const { endpoint } = call;
    try {
      const response = await this.poolOf(endpoint).request({
        method: call.method,
        path: call.target,
        headers: [...call.headers],
        body: call.body ?? null,
        signal,
        responseHeaders: 'raw',
      });
      const headers = rawHeaders(response.headers);
      return {
        status: response.statusCode,
        headers,
        traits: this.protocol.readAnswer(response.statusCode, headers),
        body: response.body,
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
    for (const [key, pool] of this.pools) {
      if (ids.has(key)) continue;
      this.pools.delete(key);
      // A connection that was broken off needs no second report.
      void pool.close().catch(() => undefined);
    }
  }

  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(pool => pool.destroy()));
  }

  private poolOf(endpoint: EndpointRecord): Pool {
    let pool = this.pools.get(endpoint.id);
    if (pool === undefined) {
      pool = new Pool(`http://${endpoint.address}`, {
        connect: { timeout: CONNECT_TIMEOUT_MS },
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: KEEP_ALIVE_MS,
        keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
        maxHeaderSize: MAX_HEADER_BYTES,
      });
      this.pools.set(endpoint.id, pool);
    }
    return pool;
  }
}

/** With `responseHeaders: 'raw'` undici gives names and values in turn. */
function rawHeaders(headers: unknown): readonly string[] {
  if (!Array.isArray(headers)) return [];
  return headers.map(each => String(each));
}
