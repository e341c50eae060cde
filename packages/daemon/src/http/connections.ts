import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

import type { Clock } from '@skylarkreach/core/ports';

import { abortResponse } from './abort-response.js';
import { Connection, ConnectionEnd, OtherEnd } from './connection.js';
import type { TrackedResponse } from './tracked-response.js';

/** Told of the connections of a server. */
export interface ConnectionObserver {
  onClosed(by: ConnectionEnd | OtherEnd): void;
  /** A response was cut by the end of its connection. */
  onCutResponse(by: ConnectionEnd | OtherEnd): void;
}

/** The connections of a server, and the responses in progress on them. */
export class Connections {
  /** Number of responses in progress. */
  responseCount = 0;
  /** Called when the last response in progress on an open connection has ended. */
  onAnswered: (connection: Connection) => void = () => undefined;
  private readonly connections = new Set<Connection>();
  private readonly bySocket = new WeakMap<Duplex, Connection>();
  private acceptedCount = 0;
  private closedBytes = 0;
  private onIdle: (() => void) | undefined;

  constructor(
    server: Server,
    private readonly clock: Clock,
    private readonly observer?: ConnectionObserver,
  ) {
    server.on('connection', socket => {
      this.add(socket);
    });
    server.on('request', request => {
      const connection = this.of(request.socket);
      connection.requestCount += 1;
      connection.input.add(request);
      connection.settleInput();
    });
  }

  /** Number of open connections. */
  get count(): number {
    return this.connections.size;
  }

  /** The open connections. */
  get open(): readonly Connection[] {
    return [...this.connections];
  }

  /** Changes whenever a connection is accepted or bytes are read. */
  get progress(): number {
    let sum = this.acceptedCount + this.closedBytes;
    for (const { socket } of this.connections) sum += socket.bytesRead;
    return sum;
  }

  /** Returns the connection of a socket of the server. */
  of(socket: Duplex): Connection {
    const connection = this.bySocket.get(socket);
    if (connection === undefined)
      throw new Error('The socket is none of this server.');
    return connection;
  }

  /** Resolves once no response is in progress. */
  whenIdle(): Promise<void> {
    if (this.responseCount === 0) return Promise.resolve();
    return new Promise(resolve => {
      this.onIdle = resolve;
    });
  }

  /** Tracks a response until it or its connection closes. */
  track(response: ServerResponse, connection: Connection): TrackedResponse {
    const tracked = connection.addResponse(response);
    this.responseCount += 1;
    response.once('close', () => {
      if (!response.writableFinished)
        this.observer?.onCutResponse(
          connection.pastEnd?.reason ?? OtherEnd.Caller,
        );
      this.release(connection, response);
      if (connection.socket.destroyed || connection.responses.length > 0)
        return;
      connection.settleInput();
      connection.input.settle();
      this.onAnswered(connection);
    });
    return tracked;
  }

  /** Ends all requests in progress: those without a response get `reason` as their error. */
  endResponses(reason: Error): void {
    for (const { responses } of this.connections) {
      for (const tracked of responses) tracked.stop(reason);
    }
  }

  /** Aborts all responses. */
  abortResponses(): void {
    for (const connection of this.connections) {
      if (connection.responses.length > 0)
        connection.recordEnd(ConnectionEnd.Stopped);
      for (const { response } of connection.responses) abortResponse(response);
    }
  }

  private add(socket: Socket): void {
    const connection = new Connection(socket, this.clock);
    this.acceptedCount += 1;
    this.connections.add(connection);
    this.bySocket.set(socket, connection);
    let hasCallerEnded = false;
    // The server's own listener ends the connection in turn.
    socket.prependOnceListener('end', () => {
      hasCallerEnded = !socket.writableEnded;
    });
    socket.once('close', () => {
      this.connections.delete(connection);
      this.closedBytes += socket.bytesRead;
      const isCaller = hasCallerEnded || socket.errored !== null;
      const other = isCaller ? OtherEnd.Caller : OtherEnd.Server;
      this.observer?.onClosed(connection.pastEnd?.reason ?? other);
      // A response that waits for another one on the connection has no event of its own.
      for (const { response } of connection.responses)
        this.release(connection, response);
    });
  }

  private release(connection: Connection, response: ServerResponse): void {
    if (!connection.endResponse(response)) return;
    this.responseCount -= 1;
    if (this.responseCount === 0) this.onIdle?.();
  }
}
