import type { Server } from 'node:http';
import type { Socket } from 'node:net';

import type { Log, Metrics } from '@skylarkreach/core/ports';
import { LogComponent } from '@skylarkreach/core/ports';

import type { Connection } from './connection.js';
import { ConnectionEnd } from './connection.js';
import type { Connections } from './connections.js';
import type { Candidate } from './victim-queue.js';
import { VictimQueue } from './victim-queue.js';

/** Why a connection was closed; tags the metric. */
export enum LimitReason {
  /** More connections are open than are allowed. */
  Connections = 'connections',
  /** More requests were sent on it than are allowed before the first response. */
  Pipelined = 'pipelined',
  /** Heads that were read in part take too much memory. */
  PartialHeads = 'partialHeads',
  /** Its caller does not read the response. */
  Unread = 'unread',
}

export interface ConnectionLimitOptions {
  /** Name of the listener, in the log and in the tags of the metric. */
  readonly listener: string;
  readonly maxConnections: number;
  /** Bytes that heads may take which were read in part, over all connections. */
  readonly maxPartialHeadBytes: number;
  /** Time for which a caller may leave its response unread. */
  readonly unreadTimeoutMs: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Requests in progress on one connection; callers that pipeline wait for a few responses at most. */
const MAX_PIPELINED = 16;
/** Interval between checks for partial heads and unread output. */
const CHECK_INTERVAL_MS = 250; // a twelfth of the timeout for headers in use

/** Unread output of a connection at a check. */
interface UnreadOutput {
  /** Bytes of the writes that were completed. */
  readonly sentBytes: number;
  /** Bytes of the current write that are still to be sent. */
  readonly queuedBytes: number;
  /** Checks since one of the two has changed. */
  readonly checkCount: number;
}

/** How much may be lost with a connection, the least first. */
enum Rank {
  /** Its last response was sent. */
  Lingering,
  /** No request has come on it. */
  Unused,
  /** It has no request in progress. */
  Idle,
  /** All its requests are still being read, so that none has run. */
  Reading,
  Busy,
}

/** Connection that may be closed for a new one. */
class ConnectionCandidate implements Candidate {
  constructor(readonly connection: Connection) {}

  get address(): string {
    return this.connection.address;
  }

  get rank(): Rank | undefined {
    const { connection } = this;
    if (connection.socket.destroyed) return undefined;
    const rank = rankOf(connection);
    return rank === Rank.Busy ? undefined : rank;
  }
}

/**
 * Bounds the connections of a server, the requests in progress on each, the heads
 * that were read in part and the time for which output stays unread. Meant for
 * crowds of callers that hold connections open. A new connection takes the place
 * of one with which the least is lost: of those, the oldest of the address that
 * has the most. If all connections carry requests that may have run, the new one
 * is closed.
 */
export class ConnectionLimit {
  private readonly unread = new WeakMap<Connection, UnreadOutput>();
  private readonly candidates = new WeakMap<Connection, ConnectionCandidate>();
  private readonly victims = new VictimQueue(() =>
    this.connections.open.map(each => this.candidateOf(each)),
  );

  constructor(
    private readonly server: Server,
    private readonly connections: Connections,
    private readonly options: ConnectionLimitOptions,
  ) {
    server.on('connection', socket => {
      if (connections.count > options.maxConnections) this.makeRoom(socket);
    });
    // Before the listener that serves requests, which drops those of closed connections.
    server.prependListener('request', ({ socket }) => {
      const connection = connections.of(socket);
      if (connection.responseCount >= MAX_PIPELINED)
        this.close(connection, LimitReason.Pipelined);
    });
    server.on('timeout', (socket: Socket) => {
      const connection = connections.of(socket);
      if (connection.responseCount > 0 && socket.writableLength > 0)
        this.close(connection, LimitReason.Unread);
    });
    server.once('listening', () => {
      this.startChecks();
    });
  }

  private startChecks(): void {
    const timer = setInterval(() => {
      this.closePartialHeads();
      this.limitUnreadOutput();
      this.victims.discardOutdated(performance.now());
    }, CHECK_INTERVAL_MS);
    timer.unref();
    this.server.once('close', () => {
      clearInterval(timer);
    });
  }

  /** Closes the connections with the largest partial heads until the others keep within the limit. */
  private closePartialHeads(): void {
    const partial = this.connections.open
      .filter(({ isLingering }) => !isLingering)
      .map(connection => {
        return { connection, bytes: connection.input.partialHeadBytes };
      })
      .filter(({ bytes }) => bytes > 0);
    let excessBytes = -this.options.maxPartialHeadBytes;
    for (const { bytes } of partial) excessBytes += bytes;
    if (excessBytes <= 0) return;
    // The sort is stable: of equal ones, the oldest comes first.
    partial.sort((left, right) => right.bytes - left.bytes);
    for (const { bytes, connection } of partial) {
      if (excessBytes <= 0) return;
      excessBytes -= bytes;
      this.close(connection, LimitReason.PartialHeads);
    }
  }

  /** Sets a timeout on connections with unread output; it passes only if the caller neither reads nor sends anything meanwhile. */
  private limitUnreadOutput(): void {
    const timeoutMs = Math.ceil(this.options.unreadTimeoutMs());
    for (const connection of this.connections.open) {
      const { responseCount, socket } = connection;
      const isUnread = responseCount > 0 && socket.writableLength > 0;
      if (!isUnread) {
        this.unread.delete(connection);
        continue;
      }
      if (socket.timeout !== timeoutMs) socket.setTimeout(timeoutMs);
      if (this.unreadForMs(connection) >= timeoutMs)
        this.close(connection, LimitReason.Unread);
    }
  }

  /** Returns the time, in whole intervals of checks, for which none of the output was sent. */
  private unreadForMs(connection: Connection): number {
    const { socket } = connection;
    const sentBytes = socket.bytesWritten - socket.writableLength;
    const queuedBytes = queuedBytesOf(socket);
    const last = this.unread.get(connection);
    const isStuck =
      last?.sentBytes === sentBytes && last.queuedBytes === queuedBytes;
    const checkCount = isStuck ? last.checkCount + 1 : 0;
    this.unread.set(connection, { sentBytes, queuedBytes, checkCount });
    return checkCount * CHECK_INTERVAL_MS;
  }

  private makeRoom(socket: Socket): void {
    const added = this.connections.of(socket);
    const nowMs = performance.now();
    const victim = this.victims.take(this.candidateOf(added), nowMs);
    this.close(victim?.connection ?? added, LimitReason.Connections);
  }

  private candidateOf(connection: Connection): ConnectionCandidate {
    const known = this.candidates.get(connection);
    if (known !== undefined) return known;
    const candidate = new ConnectionCandidate(connection);
    this.candidates.set(connection, candidate);
    return candidate;
  }

  private close(connection: Connection, reason: LimitReason): void {
    if (connection.socket.destroyed) return;
    const { listener, log, metrics } = this.options;
    metrics.increment('callers.closedOverLimit', 1, { listener, reason });
    log.warn(
      LogComponent.Forwarding,
      'A connection is closed, as its callers exceed a limit.',
      {
        listener,
        reason,
        address: connection.address,
        requests: connection.requestCount,
        inProgress: connection.responseCount,
        connections: this.connections.count,
      },
    );
    connection.destroy(ConnectionEnd.OverLimit);
  }
}

/** Returns the bytes of the current write that are still to be sent; Node.js restarts the timeout of a socket by the same figure. */
function queuedBytesOf(socket: Socket): number {
  const { _handle: handle } = socket as Socket & {
    readonly _handle?: { readonly writeQueueSize?: number } | null;
  };
  return handle?.writeQueueSize ?? 0;
}

function rankOf(connection: Connection): Rank {
  if (connection.isLingering) return Rank.Lingering;
  if (connection.responseCount === 0)
    return connection.requestCount === 0 ? Rank.Unused : Rank.Idle;
  const isReading = connection.responses.every(
    ({ response }) => !response.req.complete,
  );
  return isReading ? Rank.Reading : Rank.Busy;
}
