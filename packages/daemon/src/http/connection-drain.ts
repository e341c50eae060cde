import type { Server } from 'node:http';
import type { Duplex } from 'node:stream';

import type { Clock } from '@skylarkreach/core/ports';

import type { Connection } from './connection.js';
import { ConnectionEnd } from './connection.js';
import type { Connections } from './connections.js';
import { nextPoll } from './next-poll.js';

/** Time in which a caller sends its next request if it does so as soon as it has read a response. */
const NEXT_REQUEST_MS = 100;
/** Time in which the rest follows of a request that was read in part. */
const REST_OF_REQUEST_MS = 1_000;
/** Time without a byte after which a caller whose request was refused has stopped sending. */
const QUIET_MS = 100;
/** Interval between checks for such requests. */
const CHECK_INTERVAL_MS = 10;

/**
 * Closes the connections of a server while this daemon stops. Bytes that have arrived
 * may wait to be read, and connections to be accepted, so that a connection is closed
 * only if a poll of the event loop has found it empty since its end was decided.
 */
export class ConnectionDrain {
  /** Waits for next requests on connections whose responses have ended. */
  private readonly waits = new Set<Promise<void>>();
  private isDraining = false;
  private isRefusingConnections = false;
  private isClosing = false;

  constructor(
    private readonly server: Server,
    private readonly connections: Connections,
    private readonly clock: Clock,
  ) {
    server.on('connection', socket => {
      connections.of(socket).isLate = this.isRefusingConnections;
    });
    connections.onAnswered = connection => {
      if (this.isDraining) this.closeIfUnused(connection);
    };
  }

  /** From now on, closes each connection that stays unused after its last response. */
  startDraining(): void {
    this.isDraining = true;
  }

  /** From now on, requests on new connections are to be refused. */
  refuseNewConnections(): void {
    this.isRefusingConnections = true;
  }

  /** Whether a request on this connection is to be refused. */
  refuses(socket: Duplex): boolean {
    return this.isClosing || this.connections.of(socket).isLate;
  }

  /** Has all further requests refused, and closes the listener and all connections once a poll has brought nothing new. */
  async close(): Promise<void> {
    this.isClosing = true;
    const { clock, connections } = this;
    const restUntilMs = clock.nowMs() + REST_OF_REQUEST_MS;
    let progress: number;
    do {
      await this.whenSettled(restUntilMs);
      ({ progress } = connections);
      await nextPoll();
    } while (connections.progress !== progress || this.isAnswering);
    for (const connection of connections.open)
      connection.destroy(ConnectionEnd.Stopped);
    this.server.close();
  }

  /** Closes a connection after its last response unless its caller goes on to use it. */
  private closeIfUnused(connection: Connection): void {
    const { socket } = connection;
    const { bytesRead } = socket;
    if (!socket.writable) return;
    const wait = this.clock
      .waitUntil(this.clock.nowMs() + NEXT_REQUEST_MS)
      .then(nextPoll)
      .then(() => {
        this.waits.delete(wait);
        if (socket.bytesRead !== bytesRead) return;
        connection.destroy(ConnectionEnd.Drained);
      });
    this.waits.add(wait);
  }

  private get isAnswering(): boolean {
    return this.connections.responseCount > 0 || this.waits.size > 0;
  }

  /** Resolves once nothing that was read waits for its response or, until `restUntilMs`, for its rest. */
  private async whenSettled(restUntilMs: number): Promise<void> {
    const { clock, connections } = this;
    for (;;) {
      if (this.isAnswering) {
        await Promise.all([connections.whenIdle(), ...this.waits]);
      } else if (this.hasUnsettled() && clock.nowMs() < restUntilMs) {
        await clock.waitUntil(clock.nowMs() + CHECK_INTERVAL_MS);
      } else {
        return;
      }
    }
  }

  /** Whether the head of a request was read in part, or a caller may not have read its refusal: a close that meets its bytes may take the refusal with it. */
  private hasUnsettled(): boolean {
    return this.connections.open.some(connection => {
      const { socket } = connection;
      if (socket.writable) return connection.hasUnsettledInput;
      return socket.writableLength > 0 || !connection.isQuietFor(QUIET_MS);
    });
  }
}
