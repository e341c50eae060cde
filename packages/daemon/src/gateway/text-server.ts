import type { Server } from 'node:http';
import { createServer } from 'node:http';

import type { Address } from '@skylarkreach/core/ports';

import { listenOn } from '../http/index.js';

export interface TextResponse {
  readonly status: number;
  readonly text: string;
}

/** Builds the text of a page; if it throws, the page is answered with 500. */
export type TextHandler = () => TextResponse | Promise<TextResponse>;

/** HTTP server that serves plain text by path, such as readiness and metrics, to the platform's probes. */
export class TextServer {
  private readonly server: Server;

  constructor(handlers: Readonly<Record<string, TextHandler>>) {
    this.server = createServer((request, response) => {
      const path = (request.url ?? '/').split('?', 1)[0] ?? '/';
      void responseOf(handlers[path]).then(({ status, text }) => {
        response.writeHead(status, {
          'content-type': 'text/plain; charset=utf-8',
          'content-length': Buffer.byteLength(text),
        });
        response.end(text);
      });
    });
  }

  listen(address: Address): Promise<Address> {
    return listenOn(this.server, address);
  }

  /** Stops listening and closes all connections. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

async function responseOf(
  handler: TextHandler | undefined,
): Promise<TextResponse> {
  if (handler === undefined)
    return { status: 404, text: 'There is no such page.' };
  try {
    return await handler();
  } catch (error) {
    return { status: 500, text: `The page failed: ${String(error)}.` };
  }
}
