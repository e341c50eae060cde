import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

import type {
  CallerLimits,
  Forwarder,
  ForwardProtocol,
  ForwardRequest,
  RequestMemory,
  RequestMetadata,
  RequestShare,
} from '@skylarkreach/core/forwarding';
import {
  daemonStoppingError,
  ForwardError,
  ForwardErrorKind,
} from '@skylarkreach/core/forwarding';
import type { Address, Clock, Log, Metrics } from '@skylarkreach/core/ports';

import type { Connection } from '../http/index.js';
import {
  abortResponse,
  closeIdleConnections,
  ConnectionDrain,
  ConnectionEnd,
  ConnectionLimit,
  Connections,
  LingeringCloser,
  listenOn,
  nextPoll,
  onClientError,
} from '../http/index.js';
import type { MachineShares } from '../settings/index.js';
import { CallerConnectionMetrics } from './caller-connections.js';
import {
  kindOfClientError,
  noMemoryError,
  RequestReader,
  toForwardError,
} from './request-reader.js';
import { DropPoint, RequestRecords } from './request-records.js';
import { ResponseSink } from './response-sink.js';

export interface IngressServerDependencies {
  readonly forwarder: Forwarder;
  readonly protocol: ForwardProtocol;
  readonly limits: () => CallerLimits;
  readonly requestMemory: RequestMemory;
  readonly machine: MachineShares;
  /** Returns the name of the workspace that has an API key. */
  readonly workspaceOf: (apiKey: string) => string | undefined;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Header limit of the parser, above every configured limit; larger headers are rejected while parsing. */
const PARSER_MAX_HEADER_BYTES = 65_536;
/** Interval between checks for connections that exceed the header timeout. */
const CONNECTION_CHECK_INTERVAL_MS = 500; // a sixth of the shortest header timeout in use

/** Request with its response. */
interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly connection: Connection;
  requestId?: string | undefined;
  /** Memory of the request; undefined until its head is accepted. */
  memory?: RequestShare | undefined;
  /** The forwarder records the outcome. */
  isForwarded: boolean;
}

/** HTTP server for callers: reads whole requests, forwards them and writes the responses. */
export class IngressServer {
  private readonly server: Server;
  private readonly reader: RequestReader;
  private readonly connections: Connections;
  private readonly drain: ConnectionDrain;
  private readonly closer: LingeringCloser;
  private readonly records: RequestRecords;
  private isDraining = false;

  constructor(private readonly deps: IngressServerDependencies) {
    this.reader = new RequestReader(deps.limits);
    this.server = createServer(
      {
        maxHeaderSize: PARSER_MAX_HEADER_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        requestTimeout: 0,
        noDelay: true,
      },
      (request, response) => void this.serve(request, response),
    );
    const { clock, limits, metrics } = deps;
    this.connections = new Connections(
      this.server,
      clock,
      new CallerConnectionMetrics(metrics),
    );
    const { connections, server } = this;
    this.records = new RequestRecords(deps, connections);
    new ConnectionLimit(server, connections, {
      listener: 'callers',
      maxConnections: deps.machine.callerConnections,
      maxPartialHeadBytes: deps.machine.partialHeadBytes,
      unreadTimeoutMs: () => limits().idleTimeoutMs,
      log: deps.log,
      metrics,
    });
    onClientError(server, connections, (error, socket) => {
      this.handleClientError(error, socket);
    });
    this.closer = new LingeringCloser(
      server,
      connections,
      () => limits().idleTimeoutMs,
    );
    closeIdleConnections(server, connections, clock);
    this.drain = new ConnectionDrain(server, connections, clock);
    this.applyLimits();
  }

  listen(address: Address): Promise<Address> {
    return listenOn(this.server, address);
  }

  /** Applies the timeouts of the current configuration. */
  applyLimits(): void {
    const { headerTimeoutMs, idleTimeoutMs } = this.deps.limits();
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs;
  }

  /** From now on, closes each connection after its next response, also after one whose head does not say so. */
  startDraining(): void {
    this.isDraining = true;
    this.drain.startDraining();
  }

  /** Number of responses in progress. */
  get answersInProgress(): number {
    return this.connections.responseCount;
  }

  /** Resolves once no response is in progress. */
  whenIdle(): Promise<void> {
    return this.connections.whenIdle();
  }

  /** From now on, refuses requests on new connections. */
  refuseNewConnections(): void {
    this.drain.refuseNewConnections();
  }

  /** Refuses all further requests, and stops listening and closes all connections once no more arrive. */
  close(): Promise<void> {
    return this.drain.close();
  }

  /** Ends all requests in progress: those without a response get an error. */
  endResponses(): void {
    this.connections.endResponses(daemonStoppingError());
  }

  /** Stops listening and closes all connections. */
  destroy(): void {
    this.server.close();
    this.connections.abortResponses();
    this.server.closeAllConnections();
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { socket } = request;
    // The request crossed the end of its connection and could not be answered.
    if (!isOpen(socket)) {
      const { requestId } = this.deps.protocol.readRequest(request.rawHeaders);
      this.records.recordDropped(socket, DropPoint.Head, requestId);
      return;
    }
    const receivedAtMs = this.deps.clock.nowMs();
    const connection = this.connections.of(socket);
    const { signal, turn } = this.connections.track(response, connection);
    const sink = new ResponseSink(
      response,
      () => this.isDraining && connection.lastResponse === response,
    );
    const exchange: Exchange = {
      request,
      response,
      connection,
      isForwarded: false,
    };
    try {
      const metadata = this.deps.protocol.readRequest(request.rawHeaders);
      const { requestId } = metadata;
      exchange.requestId = requestId;
      const head = { metadata, target: request.url ?? '/', receivedAtMs };
      this.deps.forwarder.rejectLate(head);
      this.deps.forwarder.rejectExcess(head);
      this.reader.checkHeaders(request);
      const caller = this.callerOf(metadata, socket);
      const memory = this.deps.requestMemory.open(caller);
      exchange.memory = memory;
      memory.onEvicted = () => {
        if (isWaiting(exchange)) connection.destroy(ConnectionEnd.OverLimit);
      };
      const body = await Promise.race([
        this.reader.readBody(request, memory),
        whenAborted(signal),
      ]);
      if (requestId === undefined) throw missingRequestIdError();
      await turn;
      // The connection may have ended with the response before this one.
      if (turn !== undefined && !isOpen(socket)) {
        this.records.recordDropped(socket, DropPoint.Turn, requestId);
        return;
      }
      // A daemon that is behind reads a request before the end of its connection.
      await nextPoll();
      if (!isOpen(socket)) {
        this.records.recordDropped(socket, DropPoint.Poll, requestId);
        socket.destroy();
        return;
      }
      signal.throwIfAborted();
      if (!memory.isOpen) throw noMemoryError();
      if (this.drain.refuses(socket)) throw daemonStoppingError();
      const forwardRequest: ForwardRequest = {
        ...head,
        requestId,
        method: request.method ?? 'GET',
        headers: request.rawHeaders,
        body,
      };
      exchange.isForwarded = true;
      memory.isComplete = true;
      await this.deps.forwarder.handle(forwardRequest, sink, signal);
    } catch (error) {
      this.sendError(error, exchange);
    } finally {
      exchange.memory?.close();
    }
  }

  /** Returns who a request is counted for: the workspace of its key, else its address. */
  private callerOf({ apiKey }: RequestMetadata, socket: Socket): string {
    const workspace =
      apiKey === undefined ? undefined : this.deps.workspaceOf(apiKey);
    return workspace ?? socket.remoteAddress ?? '';
  }

  private sendError(error: unknown, exchange: Exchange): void {
    const { request, response, connection, requestId, isForwarded, memory } =
      exchange;
    if (response.headersSent || response.destroyed) {
      connection.recordEnd(ConnectionEnd.Aborted);
      abortResponse(response);
      return;
    }
    const forwardError = toForwardError(error);
    const isOutOfMemory =
      forwardError.kind === ForwardErrorKind.Overloaded &&
      memory !== undefined &&
      !isForwarded;
    // A refusal that waits for its turn would keep the memory of the request.
    if (isOutOfMemory && isWaiting(exchange)) {
      this.records.recordRejected(forwardError, requestId, connection.address);
      connection.destroy(ConnectionEnd.OverLimit);
      return;
    }
    // Unread bytes of the body must not be parsed as the next request.
    const mustClose =
      !request.complete ||
      (this.isDraining && connection.lastResponse === response);
    if (!isForwarded)
      this.records.recordRejected(forwardError, requestId, connection.address);
    const text = JSON.stringify({
      kind: forwardError.kind,
      title: forwardError.message,
    });
    response.sendDate = false;
    response.writeHead(forwardError.httpStatus, [
      ...this.deps.protocol.errorHeaders(requestId, forwardError.retryInMs),
      'content-type',
      'application/problem+json',
      'content-length',
      String(Buffer.byteLength(text)),
      ...(mustClose ? ['connection', 'close'] : []),
    ]);
    response.end(text);
  }

  /** Rejects bytes that are not a valid request, and closes the connection after the responses in progress on it. */
  private handleClientError(
    error: NodeJS.ErrnoException,
    socket: Duplex,
  ): void {
    const connection = this.connections.of(socket);
    if (connection.isLingering) return;
    const code = error.code ?? 'unknown';
    const kind = kindOfClientError(code);
    if (code !== 'ECONNRESET') {
      const reason = `The HTTP server rejected the request (${code}).`;
      const rejection = new ForwardError(kind, reason);
      this.records.recordRejected(rejection, undefined, connection.address);
    }
    const last = connection.lastResponse;
    if (last !== undefined) {
      this.closer.closeAfter(last, socket);
      return;
    }
    if (code !== 'ECONNRESET') connection.recordEnd(ConnectionEnd.Rejected);
    if (!socket.writable || code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const { httpStatus } = new ForwardError(kind, '');
    socket.write(
      `HTTP/1.1 ${httpStatus} Refused\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`,
    );
    this.closer.close(socket);
  }
}

/** Returns whether the response to an earlier request on the connection is still due. */
function isWaiting({ connection, response }: Exchange): boolean {
  return connection.responses[0]?.response !== response;
}

/** Returns whether a response can still be sent on a connection. */
function isOpen(socket: Duplex): boolean {
  return socket.writable;
}

/** Rejects with the signal's reason once it is aborted. */
function whenAborted(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    const onAbort = () => {
      reject(
        signal.reason instanceof Error ? signal.reason : new Error('aborted'),
      );
    };
    signal.addEventListener('abort', onAbort, { once: true });
  });
}

function missingRequestIdError(): ForwardError {
  return new ForwardError(
    ForwardErrorKind.BadRequest,
    'The request has no id; send one.',
  );
}
