import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Duplex } from 'node:stream';

import type {
  CallerLimits,
  Forwarder,
  ForwardProtocol,
  ForwardRequest,
} from '@skylarkreach/core/forwarding';
import {
  ForwardError,
  ForwardErrorKind,
  RunOutcome,
} from '@skylarkreach/core/forwarding';
import type { Address, Clock, Log, Metrics } from '@skylarkreach/core/ports';
import { LogComponent } from '@skylarkreach/core/ports';

import {
  BodyError,
  BodyErrorKind,
  listenOn,
  nextPoll,
  readBytes,
} from '../http/index.js';
import { abortResponse, ResponseSink } from './response-sink.js';

export interface IngressServerDependencies {
  readonly forwarder: Forwarder;
  readonly protocol: ForwardProtocol;
  readonly limits: () => CallerLimits;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Header limit of the parser, above every configured limit; larger headers are rejected while parsing. */
const PARSER_MAX_HEADER_BYTES = 65_536;
/** Interval between checks for connections that exceed the header timeout. */
const CONNECTION_CHECK_INTERVAL_MS = 500; // a sixth of the shortest header timeout in use
/** Error kinds by the code of the server's `clientError` event; other codes are bad requests. */
const ERROR_KIND_BY_CLIENT_ERROR_CODE: Readonly<
  Record<string, ForwardErrorKind>
> = {
  HPE_HEADER_OVERFLOW: ForwardErrorKind.HeadersTooLarge,
  ERR_HTTP_REQUEST_TIMEOUT: ForwardErrorKind.CallerTooSlow,
};

const ERROR_KIND_BY_BODY_ERROR: Readonly<
  Record<BodyErrorKind, ForwardErrorKind>
> = {
  [BodyErrorKind.TooLarge]: ForwardErrorKind.BodyTooLarge,
  [BodyErrorKind.TooSlow]: ForwardErrorKind.CallerTooSlow,
  [BodyErrorKind.CutOff]: ForwardErrorKind.BadRequest,
};

/** HTTP server for callers: reads whole requests, forwards them and writes the responses. */
export class IngressServer {
  private readonly server: Server;
  /** Responses in progress on each connection. */
  private readonly responsesBySocket = new Map<Duplex, Set<ServerResponse>>();
  private openResponseCount = 0;
  private isDraining = false;
  private isRejectingRequests = false;
  private onIdle: (() => void) | undefined;

  constructor(private readonly deps: IngressServerDependencies) {
    this.server = createServer(
      {
        maxHeaderSize: PARSER_MAX_HEADER_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        requestTimeout: 0,
        noDelay: true,
      },
      (request, response) => void this.serve(request, response),
    );
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.handleClientError(error, socket);
    });
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
  }

  /** Number of responses in progress. */
  get answersInProgress(): number {
    return this.openResponseCount;
  }

  /** Resolves once no response is in progress. */
  whenIdle(): Promise<void> {
    if (this.openResponseCount === 0) return Promise.resolve();
    return new Promise(resolve => {
      this.onIdle = resolve;
    });
  }

  /** Stops accepting connections and closes idle ones. */
  stopAccepting(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Rejects further requests on open connections, since no time is left to serve them. */
  rejectNewRequests(): void {
    this.isRejectingRequests = true;
  }

  /** Stops listening and closes all connections. */
  destroy(): void {
    this.server.close();
    for (const responses of this.responsesBySocket.values()) {
      for (const response of responses) abortResponse(response);
    }
    this.server.closeAllConnections();
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    // The request crossed the end of its connection and could not be answered.
    if (!isOpen(request.socket)) return;
    const receivedAtMs = this.deps.clock.nowMs();
    const disconnected = this.trackResponse(request.socket, response);
    const sink = new ResponseSink(response, () => this.isDraining);
    let requestId: string | undefined;
    try {
      const metadata = this.deps.protocol.readRequest(request.rawHeaders);
      ({ requestId } = metadata);
      if (this.isRejectingRequests) throw daemonStoppingError();
      this.checkHeaders(request);
      const body = await this.readBody(request);
      if (requestId === undefined) throw missingRequestIdError();
      await nextPoll();
      if (!isOpen(request.socket)) {
        this.recordEarlyDeparture(request.socket, requestId);
        return;
      }
      const forwardRequest: ForwardRequest = {
        requestId,
        method: request.method ?? 'GET',
        target: request.url ?? '/',
        headers: request.rawHeaders,
        body,
        metadata,
        receivedAtMs,
      };
      await this.deps.forwarder.handle(forwardRequest, sink, disconnected);
    } catch (error) {
      this.sendError(error, request, response, requestId);
    }
  }

  /** Records a request that a delayed daemon reads after its caller has left. */
  private recordEarlyDeparture(socket: Duplex, requestId: string): void {
    socket.destroy();
    const outcome = RunOutcome.CallerDisconnected;
    this.deps.metrics.increment('requests', 1, { outcome });
    this.deps.log.info(
      LogComponent.Forwarding,
      'A request was dropped, as its caller had left before it was read.',
      { requestId, outcome },
    );
  }

  /**
   * Tracks a response until it closes. Returns a signal that is aborted if the
   * caller disconnects first.
   */
  private trackResponse(socket: Duplex, response: ServerResponse): AbortSignal {
    const disconnect = new AbortController();
    const responses =
      this.responsesBySocket.get(socket) ?? new Set<ServerResponse>();
    this.responsesBySocket.set(socket, responses.add(response));
    this.openResponseCount += 1;
    response.once('close', () => {
      if (!response.writableFinished) disconnect.abort();
      responses.delete(response);
      if (responses.size === 0) {
        this.responsesBySocket.delete(socket);
        if (this.isDraining) socket.end();
      }
      this.openResponseCount -= 1;
      if (this.openResponseCount === 0) this.onIdle?.();
    });
    return disconnect.signal;
  }

  private checkHeaders(request: IncomingMessage): void {
    const { maxHeaderBytes } = this.deps.limits();
    let bytes = 0;
    for (const text of request.rawHeaders) bytes += text.length + 2;
    if (bytes <= maxHeaderBytes) return;
    throw new ForwardError(
      ForwardErrorKind.HeadersTooLarge,
      `The headers exceed ${maxHeaderBytes} bytes; send fewer or shorter headers.`,
    );
  }

  private async readBody(
    request: IncomingMessage,
  ): Promise<Uint8Array | undefined> {
    const { headers } = request;
    const hasBody =
      headers['content-length'] !== undefined ||
      headers['transfer-encoding'] !== undefined;
    if (!hasBody) return undefined;
    const { idleTimeoutMs, maxBodyBytes } = this.deps.limits();
    if (Number(headers['content-length'] ?? 0) > maxBodyBytes) {
      throw new ForwardError(
        ForwardErrorKind.BodyTooLarge,
        `The body exceeds ${maxBodyBytes} bytes; send a smaller body.`,
      );
    }
    return readBytes(request, {
      maxBytes: maxBodyBytes,
      timeout: AbortSignal.timeout(Math.ceil(idleTimeoutMs)),
    });
  }

  private sendError(
    error: unknown,
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string | undefined,
  ): void {
    if (response.headersSent || response.destroyed) {
      abortResponse(response);
      return;
    }
    const forwardError = toForwardError(error);
    // Unread bytes of the body must not be parsed as the next request.
    const mustClose = this.isDraining || !request.complete;
    this.reportEarlyRejection(forwardError, requestId);
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

  /** Counts and logs a request that was rejected before it was read whole. The forwarder logs all others. */
  private reportEarlyRejection(
    { kind, message }: ForwardError,
    requestId: string | undefined,
  ): void {
    const isEarly =
      kind === ForwardErrorKind.BadRequest ||
      kind === ForwardErrorKind.Stopping ||
      kind === ForwardErrorKind.BodyTooLarge ||
      kind === ForwardErrorKind.HeadersTooLarge ||
      kind === ForwardErrorKind.CallerTooSlow;
    if (!isEarly) return;
    this.deps.metrics.increment('requests', 1, { outcome: kind });
    this.deps.log.info(
      LogComponent.Forwarding,
      'A request was rejected before it was fully read.',
      {
        requestId: requestId ?? '',
        outcome: kind,
        reason: message,
      },
    );
  }

  /** Rejects bytes that are not a valid request, and closes the connection after the responses in progress on it. */
  private handleClientError(
    error: NodeJS.ErrnoException,
    socket: Duplex,
  ): void {
    const code = error.code ?? 'unknown';
    const kind =
      ERROR_KIND_BY_CLIENT_ERROR_CODE[code] ?? ForwardErrorKind.BadRequest;
    if (code !== 'ECONNRESET') {
      this.reportEarlyRejection(
        new ForwardError(
          kind,
          `The HTTP server rejected the request (${code}).`,
        ),
        undefined,
      );
    }
    const responses = this.responsesBySocket.get(socket);
    if (responses !== undefined) {
      for (const response of responses) {
        response.once('finish', () => {
          socket.end();
        });
      }
      return;
    }
    if (!socket.writable || code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const { httpStatus } = new ForwardError(kind, '');
    socket.end(
      `HTTP/1.1 ${httpStatus} Refused\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`,
    );
  }
}

/** Returns whether a response can still be sent on a connection. */
function isOpen(socket: Duplex): boolean {
  return socket.writable;
}

function daemonStoppingError(): ForwardError {
  return new ForwardError(
    ForwardErrorKind.Stopping,
    'This daemon is stopping; send the request again to reach another one.',
    0,
  );
}

function missingRequestIdError(): ForwardError {
  return new ForwardError(
    ForwardErrorKind.BadRequest,
    'The request has no id; send one.',
  );
}

function toForwardError(error: unknown): ForwardError {
  if (error instanceof ForwardError) return error;
  if (error instanceof BodyError) {
    return new ForwardError(
      ERROR_KIND_BY_BODY_ERROR[error.kind],
      error.message,
    );
  }
  return new ForwardError(
    ForwardErrorKind.EndpointFailed,
    'The gateway failed with an internal error; the request may have run.',
  );
}
