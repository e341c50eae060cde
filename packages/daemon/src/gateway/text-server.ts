import type { Server } from 'node:http';
import { createServer } from 'node:http';

import type { Address } from '@skylarkreach/core/ports';

import { listenOn } from '../http/index.js';

export interface TextResponse {
  readonly status: number;
  readonly text: string;
}

/** HTTP server that serves plain text by path, such as readiness and metrics, to the platform's probes. */
export class TextServer {
  private readonly server: Server;

  constructor(
    handlers: Readonly<
      Record<string, () => TextResponse | Promise<TextResponse>>
    >,
  ) {
    this.server = createServer((request, response) => {
      const path = (request.url ?? '/').split('?', 1)[0] ?? '/';
      const handler = handlers[path];
      const result = handler?.() ?? {
        status: 404,
        text: 'There is no such page.',
      };
      void Promise.resolve(result).then(({ status, text }) => {
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
