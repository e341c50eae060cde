import type { IncomingMessage, ServerResponse } from 'node:http';

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
import { LogPart } from '@skylarkreach/core/ports';
import type { ResumeTokenSigner } from '@skylarkreach/core/streams';

import type { OpenResponse, OpenResponses } from '../hand-off/index.js';
import type { HttpExchange } from '../http/index.js';
import {
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
import { sendProblem, stopping } from './problem.js';
import { RequestHandler } from './request-handler.js';

export interface CallerServerParts {
  readonly models: ModelPipeline;
  readonly services: ServicePipeline;
  readonly outcomes: ServiceOutcomes;
  readonly clock: Clock;
  readonly log: Log;
  readonly limits: Settings['limits'];
  readonly directory: TokenDirectory;
  readonly resumeTokens: ResumeTokenSigner;
  readonly responses: OpenResponses;
  /** Whether the balancer may send new requests here. */
  readonly isReady: () => boolean;
}

const DEFAULT_CONTENT_TYPE = 'application/json';

/** HTTP interface for callers. */
export class CallerServer {
  private readHeaders(request: IncomingMessage): CallerRequest {
    const { clock, limits } = this.parts;
    const defaultDeadlineAtMs = clock.nowMs() + limits.defaultDeadlineMs;
    return readCallerHeaders(
      request,
      requestIdOf(request),
      defaultDeadlineAtMs,
    );
  }

  private readonly router = new HttpRouter();
  private readonly chat: ChatHandler;
  private readonly requests: RequestHandler;

  constructor(private readonly parts: CallerServerParts) {
    const { clock, directory, models, responses, resumeTokens } = parts;
    this.chat = new ChatHandler(responses, resumeTokens, clock);
    this.requests = new RequestHandler({
      chat: this.chat,
      tokens: resumeTokens,
      clock,
      directory,
      models,
    });
    const outcomes = new OutcomeHandler(parts.outcomes);
    this.router
      .add('POST', '/v1/chat/completions', exchange =>
        this.handleChat(exchange),
      )
      .add('GET', '/v1/services/{service}/outcomes/{key}', exchange =>
        outcomes.send(exchange),
      )
      .add('*', '/v1/services/{service}/{path+}', exchange =>
        this.handleService(exchange),
      )
      .add('GET', '/v1/requests/{id}', exchange =>
        this.requests.outcome(exchange),
      )
      .add('GET', '/v1/requests/{id}/events', exchange =>
        this.requests.events(exchange),
      )
      .add('DELETE', '/v1/requests/{id}', exchange =>
        this.requests.cancel(exchange),
      )
      .add('GET', '/ready', exchange => this.handleReady(exchange));
  }

  /** Handles one request; every failure becomes a problem answer. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = requestIdOf(request);
    request.headers['x-request-id'] = requestId;
    try {
      const handler = this.router.find(request, response);
      if (handler === undefined) throw unknownPath(request);
      await handler();
    } catch (error) {
      this.fail(error, request, response, requestId);
    }
  }

  private async handleChat(exchange: HttpExchange): Promise<void> {
    const { request, response } = exchange;
    this.refuseWhileStopping();
    const headers = this.readHeaders(request);
    const text = await this.readBody(request);
    const body = parseChatBody(text, this.parts.limits.maxTokens);
    this.refuseWhileStopping();
    const workspace = workspaceOf(headers, this.parts.directory);
    const name = { workspace, requestId: headers.requestId };
    const received = this.receivedOf(request, headers, body, workspace);
    const call = { ...headers, ...body, received };
    const source = {
      name,
      open: (signal: AbortSignal) => this.parts.models.run(call, signal),
    };
    if (body.stream) await this.chat.sendStream(source, response);
    else await this.chat.sendJson(source, response);
  }

  /** What the caller has of an answer that it asks to be completed. Throws `RequestError`. */
  private receivedOf(
    request: IncomingMessage,
    { requestId }: CallerRequest,
    { receivedText }: ChatBody,
    workspace: string,
  ): ReceivedAnswer | undefined {
    if (receivedText === undefined) return undefined;
    const point = this.requests.readPoint(request, { workspace, requestId });
    if (point?.characters === receivedText.length) {
      return { text: receivedText, point };
    }
    throw notRunError(
      RequestErrorKind.BadRequest,
      'The received_text does not fit the Last-Event-ID.',
      'Send all text received up to the event that Last-Event-ID names.',
    );
  }

  private async handleService(exchange: HttpExchange): Promise<void> {
    const { params, request, response, url } = exchange;
    this.refuseWhileStopping();
    const headers = this.readHeaders(request);
    const body = await this.readBody(request);
    this.refuseWhileStopping();
    const call = {
      ...headers,
      service: params.service ?? '',
      method: request.method ?? 'GET',
      path: `/${params.path ?? ''}${url.search}`,
      contentType: request.headers['content-type'] ?? DEFAULT_CONTENT_TYPE,
      body,
    };
    const workspace = workspaceOf(headers, this.parts.directory);
    const name = { workspace, requestId: headers.requestId };
    const { responses } = this.parts;
    await responses.track(name, response, RunEndReason.Detached, async open => {
      const answer = await this.runService(call, open);
      response.writeHead(answer.status, {
        'content-type': answer.contentType,
        'x-request-id': headers.requestId,
      });
      response.end(answer.body);
    });
  }

  /** Runs a service call, or gives its caller a final answer once this daemon has to leave. */
  private async runService(
    call: ServiceCall,
    open: OpenResponse,
  ): Promise<ServiceResponse> {
    // A call that may not be repeated runs on when its caller goes away.
    const { signal } = new AbortController();
    const answer = this.parts.services.run(call, signal);
    const handedOff = new Promise<never>((_, reject) => {
      open.signal.addEventListener('abort', () => {
        if (open.isHandedOff) reject(callLeft());
      });
    });
    return Promise.race([answer, handedOff]);
  }

  private refuseWhileStopping(): void {
    if (!this.parts.isReady()) throw stopping(this.parts.clock);
  }

  private handleReady(exchange: HttpExchange): Promise<void> {
    const ready = this.parts.isReady();
    exchange.response.writeHead(ready ? 200 : 503);
    exchange.response.end(ready ? 'ready\n' : 'stopping\n');
    return Promise.resolve();
  }

  private async readBody(request: IncomingMessage): Promise<string> {
    const { bodyTimeoutMs, maxBodyBytes } = this.parts.limits;
    try {
      return await readBody(request, {
        maxBytes: maxBodyBytes,
        timeout: AbortSignal.timeout(bodyTimeoutMs),
      });
    } catch (error) {
      throw error instanceof BodyError ? bodyFailure(error) : error;
    }
  }

  private fail(
    error: unknown,
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
  ): void {
    const { clock, log } = this.parts;
    const requestError = error instanceof RequestError ? error : internal();
    if (requestError !== error && !response.destroyed) {
      log.error(LogPart.Pipeline, 'A request failed unexpectedly.', {
        requestId,
        error: error instanceof Error ? (error.stack ?? error.message) : '',
      });
    }
    if (response.headersSent || response.destroyed) {
      response.destroy();
      return;
    }
    // What is left of a refused body must not be read as another request.
    if (!request.complete) response.setHeader('connection', 'close');
    sendProblem(response, requestError, requestId, clock);
  }
}

function unknownPath(request: IncomingMessage): RequestError {
  return notRunError(
    RequestErrorKind.NotFound,
    `There is no ${request.method ?? ''} ${request.url?.slice(0, 100) ?? ''}.`,
    'Use POST /v1/chat/completions, /v1/services/{service}/... or GET /v1/requests/{id}.',
  );
}

function bodyFailure(error: BodyError): RequestError {
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

function internal(): RequestError {
  return new RequestError({
    kind: RequestErrorKind.EndpointFailed,
    message: 'The request failed unexpectedly.',
    remedy: 'Give the request id to the operators.',
    outcome: RequestOutcome.Unknown,
  });
}

/** The daemon leaves while the service still works on the call. */
function callLeft(): RequestError {
  return new RequestError({
    kind: RequestErrorKind.OutcomeUnknown,
    message: 'This daemon is leaving before the service has answered.',
    remedy:
      'Send the call again under the same Idempotency-Key, or ask the service what became of it.',
    outcome: RequestOutcome.Unknown,
  });
}
