import type { Server } from 'node:http';
import { createServer } from 'node:http';

import type { Address } from '@skylarkreach/core/ports';

import { listenOn } from '../http/index.js';

export interface TextAnswer {
  readonly status: number;
  readonly text: string;
}

/** Serves texts by path to the platform's own probes. */
export class TextServer {
  private readonly server: Server;

  constructor(
    answers: Readonly<Record<string, () => TextAnswer | Promise<TextAnswer>>>,
  ) {
    this.server = createServer((request, response) => {
      const path = (request.url ?? '/').split('?', 1)[0] ?? '/';
      const answer = answers[path];
      const found = answer?.() ?? {
        status: 404,
        text: 'There is no such page.',
      };
      void Promise.resolve(found).then(({ status, text }) => {
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

  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
