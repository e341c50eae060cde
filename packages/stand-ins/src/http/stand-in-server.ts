import type { ServerResponse } from 'node:http';

import type { Address } from '@skylarkreach/core/ports';
import type { HttpRouter } from '@skylarkreach/daemon';
import { HttpListener, readBody, SystemClock } from '@skylarkreach/daemon';

const MAX_BODY_BYTES = 4_000_000;
const READ_TIMEOUT_MS = 10_000;
const MAX_HEADER_BYTES = 16_384;

/** HTTP server of a stand-in for a platform service or an endpoint: dispatches requests to a router. */
export class StandInServer {
  private readonly listener: HttpListener;

  constructor(address: Address, router: HttpRouter) {
    this.listener = new HttpListener(
      {
        address,
        maxHeaderBytes: MAX_HEADER_BYTES,
        headersTimeoutMs: READ_TIMEOUT_MS,
        clock: new SystemClock(),
      },
      (request, response) => {
        const handler = router.find(request, response);
        if (handler === undefined) {
          sendJson(response, 404, {
            message: 'No route matches this method and path.',
          });
          return;
        }
        handler().catch((error: unknown) => {
          if (response.headersSent) response.destroy();
          else sendJson(response, 500, { message: String(error) });
        });
      },
    );
  }

  /** Starts listening and returns the bound address. */
  listen(): Promise<Address> {
    return this.listener.listen();
  }

  close(): Promise<void> {
    return this.listener.close();
  }

  /** Drops every connection immediately, as a reclaimed instance does. */
  destroy(): void {
    this.listener.destroy();
  }
}

/** Sends `body` as a JSON response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

/** Reads the request body as text, with limits on its size and on the time to read it. */
export async function readText(
  request: Parameters<typeof readBody>[0],
): Promise<string> {
  return readBody(request, {
    maxBytes: MAX_BODY_BYTES,
    timeout: AbortSignal.timeout(READ_TIMEOUT_MS),
  });
}
