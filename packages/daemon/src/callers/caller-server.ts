import type { IncomingMessage, ServerResponse } from 'node:http';

import type { RequestMemory } from '@skylarkreach/core/forwarding';
import type {
  CallerRequest,
  ModelPipeline,
  ReceivedAnswer,
  ServiceCall,
  ServiceOutcomes,
  ServicePipeline,
  TokenDirectory,
} from '@skylarkreach/core/pipeline';
import {
  notRunError,
  RequestError,
  RequestErrorKind,
  RequestOutcome,
  RunEndReason,
  workspaceOf,
} from '@skylarkreach/core/pipeline';
import type { Clock, Log, ServiceResponse } from '@skylarkreach/core/ports';
import { LogComponent } from '@skylarkreach/core/ports';
import type { ResumeTokenSigner } from '@skylarkreach/core/streams';

import type { OpenResponse, OpenResponses } from '../hand-off/index.js';
import type { HttpExchange } from '../http/index.js';
import {
  bearerToken,
  BodyError,
  BodyErrorKind,
  HttpRouter,
  readBody,
} from '../http/index.js';
import type { Settings } from '../settings/index.js';
import { readCallerHeaders, requestIdOf } from './caller-headers.js';
import type { ChatBody } from './chat-body.js';
import { parseChatBody } from './chat-body.js';
import { ChatHandler } from './chat-handler.js';
import { OutcomeHandler } from './outcome-handler.js';
import { sendProblem, stoppingError } from './problem.js';
import { RequestHandler } from './request-handler.js';

export interface CallerServerDependencies {
  readonly models: ModelPipeline;
  readonly services: ServicePipeline;
  readonly outcomes: ServiceOutcomes;
  readonly clock: Clock;
  readonly log: Log;
  readonly limits: Settings['limits'];
  readonly requestMemory: RequestMemory;
  readonly directory: TokenDirectory;
  readonly resumeTokens: ResumeTokenSigner;
  readonly responses: OpenResponses;
  /** Whether the load balancer may send new requests to this daemon. */
  readonly isReady: () => boolean;
}

/** Time after which a request that found no memory may be sent again: that within which sound bodies are read. */
const NO_MEMORY_RETRY_MS = 1_000;
const DEFAULT_CONTENT_TYPE = 'application/json';

/** HTTP API for callers. */
export class CallerServer {
  private readHeaders(request: IncomingMessage): CallerRequest {
    const { clock, limits } = this.deps;
    const defaultDeadlineAtMs = clock.nowMs() + limits.defaultDeadlineMs;
    return readCallerHeaders(
      request,
      requestIdOf(request),
      defaultDeadlineAtMs,
    );
  }

  private readonly router = new HttpRouter();
  private readonly chatHandler: ChatHandler;
  private readonly requestHandler: RequestHandler;

  constructor(private readonly deps: CallerServerDependencies) {
    const { clock, directory, models, responses, resumeTokens } = deps;
    this.chatHandler = new ChatHandler(responses, resumeTokens, clock);
    this.requestHandler = new RequestHandler({
      chatHandler: this.chatHandler,
      resumeTokens,
      clock,
      directory,
      models,
    });
    const outcomes = new OutcomeHandler(deps.outcomes);
    this.router
      .add('POST', '/v1/chat/completions', exchange =>
        this.handleChat(exchange),
      )
      .add('GET', '/v1/services/{service}/outcomes/{key}', exchange =>
        outcomes.sendOutcome(exchange),
      )
      .add('*', '/v1/services/{service}/{path+}', exchange =>
        this.handleService(exchange),
      )
      .add('GET', '/v1/requests/{id}', exchange =>
        this.requestHandler.sendOutcome(exchange),
      )
      .add('GET', '/v1/requests/{id}/events', exchange =>
        this.requestHandler.streamEvents(exchange),
      )
      .add('DELETE', '/v1/requests/{id}', exchange =>
        this.requestHandler.cancel(exchange),
      )
      .add('GET', '/ready', exchange => this.handleReady(exchange));
  }

  /** Handles one request. Errors are sent as problem details (RFC 9457). */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = requestIdOf(request);
    request.headers['x-request-id'] = requestId;
    try {
      const handler = this.router.find(request, response);
      if (handler === undefined) throw unknownPathError(request);
      await handler();
    } catch (error) {
      this.sendError(error, request, response, requestId);
    }
  }

  private async handleChat(exchange: HttpExchange): Promise<void> {
    const { request, response } = exchange;
    this.throwIfStopping();
    const headers = this.readHeaders(request);
    const text = await this.readBody(exchange);
    const body = parseChatBody(text, this.deps.limits.maxTokens);
    this.throwIfStopping();
    const workspace = workspaceOf(headers, this.deps.directory);
    const name = { workspace, requestId: headers.requestId };
    const receivedAnswer = this.readReceivedAnswer(
      request,
      headers,
      body,
      workspace,
    );
    const call = { ...headers, ...body, receivedAnswer };
    const source = {
      name,
      open: (signal: AbortSignal) => this.deps.models.run(call, signal),
    };
    if (body.stream) await this.chatHandler.sendStream(source, response);
    else await this.chatHandler.sendJson(source, response);
  }

  /** Returns the part of an interrupted answer that the caller has received and wants completed. Throws `RequestError`. */
  private readReceivedAnswer(
    request: IncomingMessage,
    { requestId }: CallerRequest,
    { receivedText }: ChatBody,
    workspace: string,
  ): ReceivedAnswer | undefined {
    if (receivedText === undefined) return undefined;
    const point = this.requestHandler.readResumePoint(request, {
      workspace,
      requestId,
    });
    if (point?.characters === receivedText.length) {
      return { text: receivedText, point };
    }
    throw notRunError(
      RequestErrorKind.BadRequest,
      'The received_text does not match the Last-Event-ID.',
      'Send all text received up to the event identified by Last-Event-ID.',
    );
  }

  private async handleService(exchange: HttpExchange): Promise<void> {
    const { params, request, response, url } = exchange;
    this.throwIfStopping();
    const headers = this.readHeaders(request);
    const body = await this.readBody(exchange);
    this.throwIfStopping();
    const call = {
      ...headers,
      service: params.service ?? '',
      method: request.method ?? 'GET',
      path: `/${params.path ?? ''}${url.search}`,
      contentType: request.headers['content-type'] ?? DEFAULT_CONTENT_TYPE,
      body,
    };
    const workspace = workspaceOf(headers, this.deps.directory);
    const name = { workspace, requestId: headers.requestId };
    const { responses } = this.deps;
    await responses.track(
      name,
      response,
      RunEndReason.Detached,
      async openResponse => {
        const answer = await this.runService(call, openResponse);
        response.writeHead(answer.status, {
          'content-type': answer.contentType,
          'x-request-id': headers.requestId,
        });
        response.end(answer.body);
      },
    );
  }

  /** Runs a service call. Throws a `RequestError` with an unknown outcome if the call is handed off before the service responds. */
  private async runService(
    call: ServiceCall,
    openResponse: OpenResponse,
  ): Promise<ServiceResponse> {
    // A service call may not be repeatable, so it runs to its end even if the caller disconnects.
    const { signal } = new AbortController();
    const answer = this.deps.services.run(call, signal);
    const handedOff = new Promise<never>((_, reject) => {
      openResponse.signal.addEventListener('abort', () => {
        if (openResponse.isHandedOff) reject(serviceCallAbandonedError());
      });
    });
    return Promise.race([answer, handedOff]);
  }

  private throwIfStopping(): void {
    if (!this.deps.isReady()) throw stoppingError(this.deps.clock);
  }

  private handleReady(exchange: HttpExchange): Promise<void> {
    const ready = this.deps.isReady();
    exchange.response.writeHead(ready ? 200 : 503);
    exchange.response.end(ready ? 'ready\n' : 'stopping\n');
    return Promise.resolve();
  }

  /** Reads a body, whose memory is held until the response has ended. Throws `RequestError`. */
  private async readBody(exchange: HttpExchange): Promise<string> {
    const { request, response } = exchange;
    const { bodyTimeoutMs, maxBodyBytes } = this.deps.limits;
    const memory = this.deps.requestMemory.open(this.callerOf(request));
    response.once('close', () => {
      memory.close();
    });
    try {
      const text = await readBody(request, {
        maxBytes: maxBodyBytes,
        timeout: AbortSignal.timeout(bodyTimeoutMs),
        memory,
      });
      memory.isComplete = true;
      return text;
    } catch (error) {
      throw error instanceof BodyError
        ? toRequestError(error, this.deps.clock)
        : error;
    }
  }

  /** Returns who a request is counted for: the workspace of its token, else its address. */
  private callerOf(request: IncomingMessage): string {
    const token = bearerToken(request);
    const workspace =
      token === undefined ? undefined : this.deps.directory.workspaceOf(token);
    return workspace ?? request.socket.remoteAddress ?? '';
  }

  private sendError(
    error: unknown,
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
  ): void {
    const { clock, log } = this.deps;
    const requestError =
      error instanceof RequestError ? error : internalError();
    if (requestError !== error && !response.destroyed) {
      log.error(LogComponent.Pipeline, 'A request failed unexpectedly.', {
        requestId,
        error: error instanceof Error ? (error.stack ?? error.message) : '',
      });
    }
    if (response.headersSent || response.destroyed) {
      response.destroy();
      return;
    }
    // The unread rest of a rejected body must not be parsed as another request.
    if (!request.complete) response.setHeader('connection', 'close');
    sendProblem(response, requestError, requestId, clock);
  }
}

function unknownPathError(request: IncomingMessage): RequestError {
  return notRunError(
    RequestErrorKind.NotFound,
    `No route matches ${request.method ?? ''} ${request.url?.slice(0, 100) ?? ''}.`,
    'Use POST /v1/chat/completions, /v1/services/{service}/... or GET /v1/requests/{id}.',
  );
}

function toRequestError(error: BodyError, clock: Clock): RequestError {
  if (error.kind === BodyErrorKind.NoMemory) {
    return new RequestError({
      kind: RequestErrorKind.Overloaded,
      message: error.message,
      remedy: 'Send the request again later.',
      outcome: RequestOutcome.NotRun,
      retryAtMs: clock.nowMs() + NO_MEMORY_RETRY_MS,
    });
  }
  const kinds = {
    [BodyErrorKind.TooLarge]: RequestErrorKind.TooLarge,
    [BodyErrorKind.TooSlow]: RequestErrorKind.CallerTooSlow,
    [BodyErrorKind.CutOff]: RequestErrorKind.BadRequest,
  };
  return notRunError(
    kinds[error.kind],
    error.message,
    'Send a smaller body, or send it faster.',
  );
}

function internalError(): RequestError {
  return new RequestError({
    kind: RequestErrorKind.EndpointFailed,
    message: 'The request failed unexpectedly.',
    remedy: 'Report the request id to the operators.',
    outcome: RequestOutcome.Unknown,
  });
}

/** Returns the error for a service call that is still running when the daemon stops. */
function serviceCallAbandonedError(): RequestError {
  return new RequestError({
    kind: RequestErrorKind.OutcomeUnknown,
    message: 'This daemon is stopping before the service has responded.',
    remedy:
      'Send the call again with the same Idempotency-Key, or query its outcome.',
    outcome: RequestOutcome.Unknown,
  });
}
