import type { ServerResponse } from 'node:http';

import type { Address } from '@skylarkreach/core/ports';
import type { HttpRouter } from '@skylarkreach/daemon';
import { HttpListener, readBody } from '@skylarkreach/daemon';

const MAX_BODY_BYTES = 4_000_000;
const BODY_TIMEOUT_MS = 10_000;
const MAX_HEADER_BYTES = 16_384;

/** Serves a router of a stand-in on one address. */
export class StandInServer {
  private readonly listener: HttpListener;

  constructor(address: Address, router: HttpRouter) {
    this.listener = new HttpListener(
      {
        address,
        maxHeaderBytes: MAX_HEADER_BYTES,
        headersTimeoutMs: BODY_TIMEOUT_MS,
      },
      (request, response) => {
        const handler = router.find(request, response);
        if (handler === undefined) {
          sendJson(response, 404, { message: 'There is no such call.' });
          return;
        }
        handler().catch((error: unknown) => {
          if (response.headersSent) response.destroy();
          else sendJson(response, 500, { message: String(error) });
        });
      },
    );
  }

  listen(): Promise<Address> {
    return this.listener.listen();
  }

  close(): Promise<void> {
    return this.listener.close();
  }

  /** Drops every connection at once, as a machine that is taken away does. */
  destroy(): void {
    this.listener.destroy();
  }
}

export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

export async function readText(
  request: Parameters<typeof readBody>[0],
): Promise<string> {
  return readBody(request, {
    maxBytes: MAX_BODY_BYTES,
    timeout: AbortSignal.timeout(BODY_TIMEOUT_MS),
  });
}
