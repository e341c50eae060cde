import type { Server } from 'node:http';
import type { Duplex } from 'node:stream';

import type { Connections } from './connections.js';
import { nextPoll } from './next-poll.js';

/** Code of a request whose headers did not arrive in time. */
const HEADERS_TOO_SLOW = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Reports bytes that are no valid request, and headers that had not arrived in time once their connection was polled again. */
export function onClientError(
  server: Server,
  connections: Connections,
  report: (error: NodeJS.ErrnoException, socket: Duplex) => void,
): void {
  const reportIfOverdue = async (
    error: NodeJS.ErrnoException,
    socket: Duplex,
  ) => {
    const connection = connections.of(socket);
    const { requestCount } = connection;
    await nextPoll();
    if (connection.requestCount !== requestCount || socket.destroyed) return;
    report(error, socket);
  };
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    if (error.code === HEADERS_TOO_SLOW) void reportIfOverdue(error, socket);
    else report(error, socket);
  });
}
