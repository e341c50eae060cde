import type { Server } from 'node:http';
import type { Socket } from 'node:net';

import type { Metrics } from '@skylarkreach/core/ports';

import { nextPoll } from '../http/index.js';
import type { CallerConnections } from './caller-connections.js';
import { ConnectionEnd } from './caller-connections.js';

export interface IdleConnectionDependencies {
  readonly connections: CallerConnections;
  readonly metrics: Metrics;
}

/** Closes callers' connections that stay idle for longer than the server's keep-alive timeout, and counts them. */
export function closeIdleConnections(
  server: Server,
  deps: IdleConnectionDependencies,
): void {
  server.on('timeout', (socket: Socket) => {
    void closeIfIdle(socket, deps);
  });
}

/** Closes a connection unless bytes arrived on it that this daemon has not read yet. */
async function closeIfIdle(
  socket: Socket,
  { connections, metrics }: IdleConnectionDependencies,
): Promise<void> {
  const { bytesRead } = socket;
  await nextPoll();
  if (socket.bytesRead !== bytesRead || socket.destroyed) return;
  metrics.increment('callers.idleConnectionsClosed');
  connections.recordEnd(socket, ConnectionEnd.Idle);
  socket.destroy();
}
