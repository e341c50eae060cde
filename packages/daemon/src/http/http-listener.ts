import type { IncomingMessage, RequestListener, Server } from 'node:http';
import { createServer } from 'node:http';

import type { Address } from '@skylarkreach/core/ports';

export interface ListenerOptions {
  readonly address: Address;
  readonly maxHeaderBytes: number;
  readonly headersTimeoutMs: number;
}

/** An HTTP server bound to one address. */
export class HttpListener {
  private readonly server: Server;
  private closing = false;

  constructor(
    private readonly options: ListenerOptions,
    listener: RequestListener,
  ) {
    this.server = createServer(
      {
        maxHeaderSize: options.maxHeaderBytes,
        headersTimeout: options.headersTimeoutMs,
        requestTimeout: 0,
      },
      (request, response) => {
        response.once('close', () => {
          if (this.closing) this.closeIdleSoon();
        });
        listener(request, response);
      },
    );
  }

  /** Starts to listen; returns the address, with the port chosen where it was 0. */
  listen(): Promise<Address> {
    return listenOn(this.server, this.options.address);
  }

  /** Stops taking connections and resolves once every request has ended. */
  async close(): Promise<void> {
    this.closing = true;
    await new Promise<void>(resolve => {
      this.server.close(() => {
        resolve();
      });
      this.server.closeIdleConnections();
    });
  }

  /** Closes kept-alive connections once the server has marked them idle. */
  private closeIdleSoon(): void {
    setImmediate(() => {
      this.server.closeIdleConnections();
    });
  }

  /** Drops every connection at once. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** Binds a server; returns the address, with the port chosen where it was 0. */
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
    throw new Error(`The server on ${address} has no port.`);
  }
  return `${bound.address}:${bound.port}`;
}

/** The token of an `Authorization: Bearer` header. */
export function bearerToken(request: IncomingMessage): string | undefined {
  const header = request.headers.authorization;
  return header?.startsWith('Bearer ') === true
    ? header.slice('Bearer '.length)
    : undefined;
}
