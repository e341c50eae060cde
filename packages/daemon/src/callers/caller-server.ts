import type { IncomingMessage, ServerResponse } from 'node:http';

import type {
  ModelPipeline,
  ServiceOutcomes,
  ServicePipeline,
} from '@skylarkreach/core/pipeline';
import {
  notRun,
  RequestError,
  RequestErrorKind,
  RequestOutcome,
} from '@skylarkreach/core/pipeline';
import type { Clock, Log } from '@skylarkreach/core/platform';
import { LogPart } from '@skylarkreach/core/platform';

import type { HttpExchange } from '../http/index.js';
import {
  BodyError,
  BodyErrorKind,
  HttpRouter,
  readBody,
} from '../http/index.js';
import type { Settings } from '../settings/index.js';
import { readCallerHeaders, requestIdOf } from './caller-headers.js';
import { parseChatBody } from './chat-body.js';
import { ChatHandler } from './chat-handler.js';
import { OutcomeHandler } from './outcome-handler.js';
import { sendProblem } from './problem.js';

export interface CallerServerParts {
  readonly models: ModelPipeline;
  readonly services: ServicePipeline;
  readonly outcomes: ServiceOutcomes;
  readonly clock: Clock;
  readonly log: Log;
  readonly limits: Settings['limits'];
  /** Whether the balancer may send new requests here. */
  readonly isReady: () => boolean;
}

const DEFAULT_CONTENT_TYPE = 'application/json';

/** HTTP interface for callers. */
export class CallerServer {
  private readonly router = new HttpRouter();
  private readonly chat: ChatHandler;

  constructor(private readonly parts: CallerServerParts) {
    this.chat = new ChatHandler(parts.models, parts.clock);
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
    const headers = readCallerHeaders(request, requestIdOf(request));
    const text = await this.readBody(request);
    const body = parseChatBody(text, this.parts.limits.maxTokens);
    const call = { ...headers, ...body };
    const signal = abortOnClose(response);
    if (body.stream) await this.chat.sendStream(call, response, signal);
    else await this.chat.sendJson(call, response, signal);
  }

  private async handleService(exchange: HttpExchange): Promise<void> {
    const { params, request, response, url } = exchange;
    const headers = readCallerHeaders(request, requestIdOf(request));
    const body = await this.readBody(request);
    const answer = await this.parts.services.run(
      {
        ...headers,
        service: params.service ?? '',
        method: request.method ?? 'GET',
        path: `/${params.path ?? ''}${url.search}`,
        contentType: request.headers['content-type'] ?? DEFAULT_CONTENT_TYPE,
        body,
      },
      // A call that may not be repeated runs on when its caller goes away.
      new AbortController().signal,
    );
    response.writeHead(answer.status, {
      'content-type': answer.contentType,
      'x-request-id': headers.requestId,
    });
    response.end(answer.body);
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

/** A signal that aborts when the caller's connection closes before the answer's end. */
function abortOnClose(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.on('close', () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}

function unknownPath(request: IncomingMessage): RequestError {
  return notRun(
    RequestErrorKind.NotFound,
    `There is no ${request.method ?? ''} ${request.url?.slice(0, 100) ?? ''}.`,
    'Use POST /v1/chat/completions or /v1/services/{service}/...',
  );
}

function bodyFailure(error: BodyError): RequestError {
  const kinds = {
    [BodyErrorKind.TooLarge]: RequestErrorKind.TooLarge,
    [BodyErrorKind.TooSlow]: RequestErrorKind.CallerTooSlow,
    [BodyErrorKind.CutOff]: RequestErrorKind.BadRequest,
  };
  return notRun(
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
