import type { Server } from 'node:http';
import type { Socket } from 'node:net';

import type { Log, Metrics } from '@skylarkreach/core/ports';
import { LogComponent } from '@skylarkreach/core/ports';

import { nextPoll } from '../http/index.js';

/** Closes callers' connections that stay idle for longer than the server's keep-alive timeout, and counts them. */
export function closeIdleConnections(server: Server, metrics: Metrics): void {
  server.on('timeout', (socket: Socket) => {
    void closeIfIdle(socket, metrics);
  });
}

/** Closes a connection unless bytes arrived on it that this daemon has not read yet. */
async function closeIfIdle(socket: Socket, metrics: Metrics): Promise<void> {
  const { bytesRead } = socket;
  await nextPoll();
  if (socket.bytesRead !== bytesRead || socket.destroyed) return;
  metrics.increment('callers.idleConnectionsClosed');
  socket.destroy();
}

/** Records a request that was read after this daemon had ended its connection. */
export function recordLateRequest({
  log,
  metrics,
}: {
  readonly log: Log;
  readonly metrics: Metrics;
}): void {
  metrics.increment('callers.lateRequests');
  log.info(
    LogComponent.Forwarding,
    'A request was dropped, as its connection had been ended before it came.',
  );
}
