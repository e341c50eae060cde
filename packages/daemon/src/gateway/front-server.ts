import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Duplex } from 'node:stream';

import type {
  CallerLimits,
  Forwarder,
  ForwardProtocol,
  ForwardRequest,
} from '@skylarkreach/core/forwarding';
import { ForwardError, ForwardErrorKind } from '@skylarkreach/core/forwarding';
import type { Address, Clock, Log, Metrics } from '@skylarkreach/core/ports';
import { LogPart } from '@skylarkreach/core/ports';

import {
  BodyError,
  BodyErrorKind,
  listenOn,
  readBytes,
} from '../http/index.js';
import { ResponseSink } from './response-sink.js';

export interface FrontServerParts {
  readonly forwarder: Forwarder;
  readonly protocol: ForwardProtocol;
  readonly limits: () => CallerLimits;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Headers beyond every configuration's limit are cut off while they are parsed. */
const PARSER_HEADER_BYTES = 65_536;
/** How often connections are checked for headers that take too long. */
const CHECK_INTERVAL_MS = 500; // a sixth of the shortest header timeout in use
/** Status of a fault that the parser reports, by its code. */
const STATUS_BY_FAULT: Readonly<Record<string, ForwardErrorKind>> = {
  HPE_HEADER_OVERFLOW: ForwardErrorKind.HeadersTooLarge,
  ERR_HTTP_REQUEST_TIMEOUT: ForwardErrorKind.CallerTooSlow,
};

const ERROR_BY_BODY_FAULT: Readonly<Record<BodyErrorKind, ForwardErrorKind>> = {
  [BodyErrorKind.TooLarge]: ForwardErrorKind.BodyTooLarge,
  [BodyErrorKind.TooSlow]: ForwardErrorKind.CallerTooSlow,
  [BodyErrorKind.CutOff]: ForwardErrorKind.BadRequest,
};

/** The callers' HTTP server: reads whole requests and writes their answers. */
export class FrontServer {
  private readonly server: Server;
  /** Answers in progress on each connection. */
  private readonly open = new Map<Duplex, Set<ServerResponse>>();
  private openAnswers = 0;
  private isLeaving = false;
  private isRefusing = false;
  private onIdle: (() => void) | undefined;

  constructor(private readonly parts: FrontServerParts) {
    this.server = createServer(
      {
        maxHeaderSize: PARSER_HEADER_BYTES,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
        requestTimeout: 0,
        noDelay: true,
      },
      (request, response) => void this.serve(request, response),
    );
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.refuseFraming(error, socket);
    });
    this.applyLimits();
  }

  listen(address: Address): Promise<Address> {
    return listenOn(this.server, address);
  }

  /** Puts the configuration's timeouts in force. */
  applyLimits(): void {
    const { headerTimeoutMs, idleTimeoutMs } = this.parts.limits();
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs;
  }

  /** Ends each connection after its next answer. */
  leave(): void {
    this.isLeaving = true;
  }

  get answersInProgress(): number {
    return this.openAnswers;
  }

  /** Resolves once no answer is in progress. */
  idle(): Promise<void> {
    if (this.openAnswers === 0) return Promise.resolve();
    return new Promise(resolve => {
      this.onIdle = resolve;
    });
  }

  /** Takes no new connections and closes those without a request. */
  closeEntrance(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Refuses requests that still come over open connections; there is no time left to serve them. */
  refuseNew(): void {
    this.isRefusing = true;
  }

  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const receivedAtMs = this.parts.clock.nowMs();
    const gone = this.track(request.socket, response);
    const sink = new ResponseSink(response, () => this.isLeaving);
    const { protocol } = this.parts;
    const traits = protocol.readCaller(request.rawHeaders);
    try {
      if (this.isRefusing) throw stopping();
      this.checkHeaders(request);
      const body = await this.readBody(request);
      const { requestId } = traits;
      if (requestId === undefined) throw withoutId();
      const forward: ForwardRequest = {
        requestId,
        method: request.method ?? 'GET',
        target: request.url ?? '/',
        headers: request.rawHeaders,
        body,
        traits,
        receivedAtMs,
      };
      await this.parts.forwarder.handle(forward, sink, gone);
    } catch (error) {
      this.fail(error, request, response, traits.requestId);
    }
  }

  /** Follows an answer to its end; the signal is aborted where the caller leaves before it. */
  private track(socket: Duplex, response: ServerResponse): AbortSignal {
    const gone = new AbortController();
    const responses = this.open.get(socket) ?? new Set<ServerResponse>();
    this.open.set(socket, responses.add(response));
    this.openAnswers += 1;
    response.once('close', () => {
      if (!response.writableFinished) gone.abort();
      responses.delete(response);
      if (responses.size === 0) this.open.delete(socket);
      this.openAnswers -= 1;
      if (this.openAnswers === 0) this.onIdle?.();
    });
    return gone.signal;
  }

  private checkHeaders(request: IncomingMessage): void {
    const { maxHeaderBytes } = this.parts.limits();
    let bytes = 0;
    for (const text of request.rawHeaders) bytes += text.length + 2;
    if (bytes <= maxHeaderBytes) return;
    throw new ForwardError(
      ForwardErrorKind.HeadersTooLarge,
      `The headers are over ${maxHeaderBytes} bytes; send fewer.`,
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
    const { idleTimeoutMs, maxBodyBytes } = this.parts.limits();
    if (Number(headers['content-length'] ?? 0) > maxBodyBytes) {
      throw new ForwardError(
        ForwardErrorKind.BodyTooLarge,
        `The body is over ${maxBodyBytes} bytes; send a smaller one.`,
      );
    }
    return readBytes(request, {
      maxBytes: maxBodyBytes,
      timeout: AbortSignal.timeout(Math.ceil(idleTimeoutMs)),
    });
  }

  private fail(
    error: unknown,
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string | undefined,
  ): void {
    if (response.headersSent || response.destroyed) {
      response.destroy();
      return;
    }
    const failure = toForwardError(error);
    // The rest of a body that was not read must not be taken for a request.
    const mustClose = this.isLeaving || !request.complete;
    this.noteRefusal(failure, requestId);
    const text = JSON.stringify({ kind: failure.kind, title: failure.message });
    response.sendDate = false;
    response.writeHead(failure.httpStatus, [
      ...this.parts.protocol.errorHeaders(requestId, failure.retryInMs),
      'content-type',
      'application/problem+json',
      'content-length',
      String(Buffer.byteLength(text)),
      ...(mustClose ? ['connection', 'close'] : []),
    ]);
    response.end(text);
  }

  /** Logs a refusal before the request was known whole; later ones are logged with their request. */
  private noteRefusal(
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
    this.parts.metrics.increment('requests', 1, { outcome: kind });
    this.parts.log.info(LogPart.Forwarding, 'A request is refused unread.', {
      requestId: requestId ?? '',
      outcome: kind,
      reason: message,
    });
  }

  /** Refuses bytes that are no request and closes the connection after the answers before them. */
  private refuseFraming(error: NodeJS.ErrnoException, socket: Duplex): void {
    const code = error.code ?? 'unknown';
    const kind = STATUS_BY_FAULT[code] ?? ForwardErrorKind.BadRequest;
    if (code !== 'ECONNRESET') {
      this.noteRefusal(
        new ForwardError(kind, `The framing is bad (${code}).`),
        undefined,
      );
    }
    const responses = this.open.get(socket);
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

function stopping(): ForwardError {
  return new ForwardError(
    ForwardErrorKind.Stopping,
    'This daemon is stopping; send the request again to reach another one.',
    0,
  );
}

function withoutId(): ForwardError {
  return new ForwardError(
    ForwardErrorKind.BadRequest,
    'The request has no id; send one.',
  );
}

function toForwardError(error: unknown): ForwardError {
  if (error instanceof ForwardError) return error;
  if (error instanceof BodyError) {
    return new ForwardError(ERROR_BY_BODY_FAULT[error.kind], error.message);
  }
  return new ForwardError(
    ForwardErrorKind.EndpointFailed,
    'The request met a fault of the program; it may have run.',
  );
}
