import type { IncomingMessage } from 'node:http';

import type {
  ModelPipeline,
  TokenDirectory,
} from '@skylarkreach/core/pipeline';
import {
  RequestError,
  RequestErrorKind,
  RequestOutcome,
  workspaceOf,
} from '@skylarkreach/core/pipeline';
import type { Clock } from '@skylarkreach/core/ports';
import type {
  RequestIdentity,
  ResumePoint,
  ResumeTokenSigner,
} from '@skylarkreach/core/streams';
import { ResumeTokenError, ResumeTokenFault } from '@skylarkreach/core/streams';

import type { HttpExchange } from '../http/index.js';
import { bearerToken } from '../http/index.js';
import { CallerHeader } from './caller-headers.js';
import type { ChatHandler } from './chat-handler.js';

export interface RequestHandlerDependencies {
  readonly models: ModelPipeline;
  readonly chatHandler: ChatHandler;
  readonly directory: TokenDirectory;
  readonly resumeTokens: ResumeTokenSigner;
  readonly clock: Clock;
}

/** Handles the outcome, the events and the cancellation of requests that were sent before. */
export class RequestHandler {
  constructor(private readonly deps: RequestHandlerDependencies) {}

  /** Sends the complete answer once it is available. Throws `RequestError`. */
  async sendOutcome(exchange: HttpExchange): Promise<void> {
    const { chatHandler, models } = this.deps;
    const name = this.readRequestName(exchange);
    const source = {
      name,
      open: (signal: AbortSignal) => models.outcome(name, signal),
    };
    await chatHandler.sendJson(source, exchange.response);
  }

  /** Streams the events after `Last-Event-ID`, or the complete answer if the header is absent. Throws `RequestError`. */
  async streamEvents(exchange: HttpExchange): Promise<void> {
    const { chatHandler, models } = this.deps;
    const name = this.readRequestName(exchange);
    const point = this.readResumePoint(exchange.request, name);
    const source = {
      name,
      open: (signal: AbortSignal) =>
        point === undefined
          ? models.outcome(name, signal)
          : models.resume(point, signal),
    };
    await chatHandler.sendStream(source, exchange.response);
  }

  /** Cancels a request. Throws `RequestError` if the request is unknown. */
  cancel(exchange: HttpExchange): Promise<void> {
    const name = this.readRequestName(exchange);
    const point = this.readResumePoint(exchange.request, name);
    if (!this.deps.models.cancel(name, point)) throw unknownRequestError(name);
    exchange.response.writeHead(204, { 'x-request-id': name.requestId });
    exchange.response.end();
    return Promise.resolve();
  }

  /** Returns the verified resume point from `Last-Event-ID`, or undefined if the header is absent. Throws `RequestError`. */
  readResumePoint(
    request: IncomingMessage,
    name: RequestIdentity,
  ): ResumePoint | undefined {
    const token = request.headers[CallerHeader.LastEventId];
    if (typeof token !== 'string' || token === '') return undefined;
    try {
      return this.deps.resumeTokens.verify(
        token,
        name,
        this.deps.clock.nowMs(),
      );
    } catch (error) {
      if (!(error instanceof ResumeTokenError)) throw error;
      throw resumeError(error);
    }
  }

  private readRequestName({ params, request }: HttpExchange): RequestIdentity {
    const caller = { bearerToken: bearerToken(request) };
    return {
      workspace: workspaceOf(caller, this.deps.directory),
      requestId: params.id ?? '',
    };
  }
}

function resumeError(error: ResumeTokenError): RequestError {
  const isExpired = error.fault === ResumeTokenFault.Expired;
  return new RequestError(
    {
      kind: isExpired
        ? RequestErrorKind.ResumeExpired
        : RequestErrorKind.ResumeRefused,
      message: error.message,
      remedy: error.remedy,
      outcome: RequestOutcome.Unknown,
    },
    { cause: error },
  );
}

function unknownRequestError(name: RequestIdentity): RequestError {
  return new RequestError({
    kind: RequestErrorKind.NotFound,
    message: `Request ${name.requestId} is unknown to this daemon.`,
    remedy: 'Send the id of the last received event in Last-Event-ID.',
    outcome: RequestOutcome.Unknown,
  });
}
