import type { IncomingMessage, ServerResponse } from 'node:http';

import type {
  CallerLimits,
  Forwarder,
  ForwardProtocol,
  ForwardRequest,
  RawHeaders,
  RequestMemory,
  RequestShare,
} from '@skylarkreach/core/forwarding';
import {
  daemonStoppingError,
  ForwardError,
  ForwardErrorKind,
} from '@skylarkreach/core/forwarding';
import type { Clock, Metrics } from '@skylarkreach/core/ports';

import {
  abortResponse,
  BodyError,
  BodyErrorKind,
  nextPoll,
  readBytes,
} from '../http/index.js';
import type { PeerServer } from '../peers/index.js';
import type { RelayMessage } from './relay-message.js';
import {
  decodeRelayMessage,
  MAX_RELAY_HEAD_BYTES,
  RelayHeader,
} from './relay-message.js';
import { noMemoryError } from './request-reader.js';
import { ResponseSink } from './response-sink.js';

export interface RelayServerDependencies {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly forwarder: Forwarder;
  readonly protocol: ForwardProtocol;
  readonly peerServer: PeerServer;
  readonly limits: () => CallerLimits;
  readonly peerMemory: RequestMemory;
}

/** Time within which a peer sends the whole message. */
const MESSAGE_TIMEOUT_MS = 5_000;
/** Errors after which an endpoint may have executed the request. */
const MAY_HAVE_RUN: ReadonlySet<ForwardErrorKind> = new Set([
  ForwardErrorKind.TimedOut,
  ForwardErrorKind.EndpointFailed,
]);

/** Sends requests on to endpoints for peers that do not reach these. */
export class RelayServer {
  /** Number of responses in progress. */
  answersInProgress = 0;
  private onIdle: (() => void) | undefined;
  private isRefusing = false;

  constructor(private readonly deps: RelayServerDependencies) {}

  /** Resolves once no response is in progress. */
  whenIdle(): Promise<void> {
    if (this.answersInProgress === 0) return Promise.resolve();
    return new Promise(resolve => {
      this.onIdle = resolve;
    });
  }

  /** From now on, refuses requests. */
  refuseRequests(): void {
    this.isRefusing = true;
  }

  /** Answers one request of a peer. Never rejects. */
  async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const receivedAtMs = this.deps.clock.nowMs();
    const disconnected = this.trackResponse(response);
    const caller = `peers/${request.socket.remoteAddress ?? ''}`;
    const memory = this.deps.peerMemory.open(caller);
    try {
      const message = await this.readMessage(request, memory);
      memory.isComplete = true;
      if (message === undefined) {
        this.deps.metrics.increment('relay.refused');
        response.writeHead(401, { connection: 'close' }).end();
        return;
      }
      // A daemon that is behind reads a message before the end of its connection.
      await nextPoll();
      if (disconnected.aborted || !request.socket.writable) {
        this.deps.metrics.increment('relay.dropped');
        response.destroy();
        return;
      }
      await this.forward(message, receivedAtMs, response, disconnected);
    } catch (error) {
      const isUnread =
        error instanceof BodyError && error.kind === BodyErrorKind.NoMemory;
      if (isUnread) {
        refuse(response, noMemoryError(), '');
        return;
      }
      // The peer takes a broken connection for a lost response.
      abortResponse(response);
    } finally {
      memory.close();
    }
  }

  private async readMessage(
    request: IncomingMessage,
    memory: RequestShare,
  ): Promise<RelayMessage | undefined> {
    const bytes = await readBytes(request, {
      maxBytes: this.deps.limits().maxBodyBytes + MAX_RELAY_HEAD_BYTES,
      timeout: AbortSignal.timeout(MESSAGE_TIMEOUT_MS),
      memory,
    });
    const failure = this.deps.peerServer.verifySignature(request, bytes);
    return failure === undefined ? decodeRelayMessage(bytes) : undefined;
  }

  private async forward(
    message: RelayMessage,
    receivedAtMs: number,
    response: ServerResponse,
    disconnected: AbortSignal,
  ): Promise<void> {
    const { excludedIds } = message.head;
    let endpointId = '';
    const onDispatch = (id: string) => {
      endpointId = id;
    };
    const sink = new RelaySink(response, () => endpointId);
    try {
      if (this.isRefusing) throw daemonStoppingError();
      const forwardRequest = this.toRequest(message, receivedAtMs);
      const part = { excludedIds, onDispatch };
      const { forwarder } = this.deps;
      await forwarder.handleRelayed(forwardRequest, part, sink, disconnected);
    } catch (error) {
      const isRefusal =
        error instanceof ForwardError && !MAY_HAVE_RUN.has(error.kind);
      if (!isRefusal || response.headersSent || response.destroyed) throw error;
      refuse(response, error, endpointId);
    }
  }

  private toRequest(
    { body, head }: RelayMessage,
    receivedAtMs: number,
  ): ForwardRequest {
    const { headers, lastEventId, method, remainingMs, requestId, target } =
      head;
    const metadata = {
      ...this.deps.protocol.readRequest(headers),
      callerTimeoutMs: remainingMs,
      lastEventId,
    };
    return { requestId, method, target, headers, body, metadata, receivedAtMs };
  }

  private trackResponse(response: ServerResponse): AbortSignal {
    const disconnect = new AbortController();
    this.answersInProgress += 1;
    response.once('close', () => {
      if (!response.writableFinished) disconnect.abort();
      this.answersInProgress -= 1;
      if (this.answersInProgress === 0) this.onIdle?.();
    });
    return disconnect.signal;
  }
}

/** Tells a peer that its request has not run. */
function refuse(
  response: ServerResponse,
  { httpStatus, kind }: ForwardError,
  endpointId: string,
): void {
  response.sendDate = false;
  // The peer's next request would wait behind the unread rest of the message.
  if (!response.req.complete) response.shouldKeepAlive = false;
  response.writeHead(httpStatus, {
    [RelayHeader.NotRun]: kind,
    [RelayHeader.Endpoint]: endpointId,
    'content-length': '0',
  });
  response.end();
}

/** Sink that names the endpoint of the response to the peer. */
class RelaySink extends ResponseSink {
  constructor(
    response: ServerResponse,
    private readonly endpointId: () => string,
  ) {
    super(response, () => false);
  }

  override begin(status: number, headers: RawHeaders): void {
    const added = [RelayHeader.Endpoint, this.endpointId()];
    super.begin(status, [...added, ...headers]);
  }
}
