import type { Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';

import type { Address } from '@skylarkreach/core/ports';

import { listenOn } from '../http/index.js';

export interface TextResponse {
  readonly status: number;
  readonly text: string;
}

/** Connections at a time, of which the platform's probes use a few; a further one takes the place of the oldest. */
const MAX_CONNECTIONS = 16;

/** Builds the text of a page; if it throws, the page is answered with 500. */
export type TextHandler = () => TextResponse | Promise<TextResponse>;

/** HTTP server that serves plain text by path, such as readiness and metrics, to the platform's probes. */
export class TextServer {
  private readonly server: Server;
  /** The open connections, oldest first. */
  private readonly sockets = new Set<Socket>();
  private readonly answering = new WeakMap<Socket, ServerResponse>();

  constructor(handlers: Readonly<Record<string, TextHandler>>) {
    this.server = createServer((request, response) => {
      // Responses that wait behind one that is not read would take any amount of memory.
      if (this.isAnswering(request.socket)) {
        request.socket.destroy();
        return;
      }
      this.answering.set(request.socket, response);
      const path = (request.url ?? '/').split('?', 1)[0] ?? '/';
      void responseOf(handlers[path]).then(({ status, text }) => {
        response.writeHead(status, {
          'content-type': 'text/plain; charset=utf-8',
          'content-length': Buffer.byteLength(text),
        });
        response.end(text);
      });
    });
    this.server.on('connection', socket => {
      this.makeRoom(socket);
    });
  }

  listen(address: Address): Promise<Address> {
    return listenOn(this.server, address);
  }

  private isAnswering(socket: Socket): boolean {
    return this.answering.get(socket)?.writableFinished === false;
  }

  private makeRoom(socket: Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => {
      this.sockets.delete(socket);
    });
    const [oldest] = this.sockets;
    if (this.sockets.size > MAX_CONNECTIONS) oldest?.destroy();
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
