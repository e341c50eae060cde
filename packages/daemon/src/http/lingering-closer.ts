import type { Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

import type { Connections } from './connections.js';
import { readGarbage } from './read-garbage.js';

/** Bytes that are read from a connection after its last response. */
const MAX_DISCARDED_BYTES = 16 * 1_024 * 1_024;

/**
 * Closes connections after their last response. What still arrives is
 * read and discarded until the caller closes its side, within the idle timeout:
 * closing a connection with unread bytes resets it, and the caller may lose the
 * response that it has not read yet.
 */
export class LingeringCloser {
  /** Closes the connections of a server in this way after responses that say so. */
  constructor(
    server: Server,
    private readonly connections: Connections,
    private readonly idleTimeoutMs: () => number,
  ) {
    server.on('connection', socket => {
      socket.destroySoon = () => {
        this.close(socket);
      };
    });
  }

  /** Closes a connection once a response has been sent; discards what arrives from now on. */
  closeAfter(response: ServerResponse, socket: Duplex): void {
    this.discardInput(socket);
    response.once('finish', () => {
      this.close(socket);
    });
  }

  close(socket: Duplex): void {
    this.discardInput(socket);
    socket.end();
  }

  private discardInput(socket: Duplex): void {
    const connection = this.connections.of(socket);
    if (connection.isLingering) return;
    connection.isLingering = true;
    this.limitTimeAfterEnd(socket);
    let discardedBytes = 0;
    // The HTTP parser of the server no longer gets the bytes.
    socket.removeAllListeners('data');
    socket.on('data', (chunk: Buffer) => {
      discardedBytes += chunk.length;
      readGarbage.add(chunk);
      if (discardedBytes > MAX_DISCARDED_BYTES) socket.destroy();
    });
    // A parser that waited has stopped reading without the stream's knowledge.
    socket.pause();
    socket.resume();
  }

  private limitTimeAfterEnd(socket: Duplex): void {
    socket.once('finish', () => {
      const timer = setTimeout(() => {
        socket.destroy();
      }, this.idleTimeoutMs());
      timer.unref();
      socket.once('close', () => {
        clearTimeout(timer);
      });
    });
  }
}
