import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { Clock } from '@skylarkreach/core/ports';

import type { Connection } from './connection.js';
import { ConnectionEnd } from './connection.js';
import type { Connections } from './connections.js';
import { nextPoll } from './next-poll.js';

/** Time after the idle timeout in which a request that its caller sent in time may still arrive. */
const MARGIN_MS = 1_000;

/**
 * Closes connections that stay idle for longer than the server's keep-alive
 * timeout, and for longer than their callers were told.
 */
export function closeIdleConnections(
  server: Server,
  connections: Connections,
  clock: Clock,
): void {
  server.on(
    'request',
    ({ socket }: IncomingMessage, response: ServerResponse) => {
      // What the response tells its caller.
      const toldMs = server.keepAliveTimeout;
      response.once('close', () => {
        connections.of(socket).startIdlePeriod(toldMs);
      });
    },
  );
  server.on('timeout', (socket: Socket) => {
    const connection = connections.of(socket);
    if (connection.responseCount > 0) return;
    const reusableUntilMs = connection.reusableUntilMs(server.keepAliveTimeout);
    const remainingMs = reusableUntilMs + MARGIN_MS - clock.nowMs();
    // The timeout may have changed since the server set its timer.
    if (remainingMs > 0) socket.setTimeout(Math.ceil(remainingMs));
    else void closeUnlessRead(connection);
  });
}

/** Closes a connection unless bytes had arrived on it that this daemon had not read. */
async function closeUnlessRead(connection: Connection): Promise<void> {
  const { socket } = connection;
  const { bytesRead } = socket;
  await nextPoll();
  if (socket.bytesRead === bytesRead) connection.destroy(ConnectionEnd.Idle);
}
