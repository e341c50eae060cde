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

export interface RequestHandlerParts {
  readonly models: ModelPipeline;
  readonly chat: ChatHandler;
  readonly directory: TokenDirectory;
  readonly tokens: ResumeTokenSigner;
  readonly clock: Clock;
}

/** Outcome, events and cancellation of requests that were sent before. */
export class RequestHandler {
  constructor(private readonly parts: RequestHandlerParts) {}

  /** Sends the whole answer once there is one. Throws `RequestError`. */
  async outcome(exchange: HttpExchange): Promise<void> {
    const { chat, models } = this.parts;
    const name = this.nameOf(exchange);
    const source = {
      name,
      open: (signal: AbortSignal) => models.outcome(name, signal),
    };
    await chat.sendJson(source, exchange.response);
  }

  /** Streams what follows `Last-Event-ID`, or the whole answer without it. Throws `RequestError`. */
  async events(exchange: HttpExchange): Promise<void> {
    const { chat, models } = this.parts;
    const name = this.nameOf(exchange);
    const point = this.readPoint(exchange.request, name);
    const source = {
      name,
      open: (signal: AbortSignal) =>
        point === undefined
          ? models.outcome(name, signal)
          : models.resume(point, signal),
    };
    await chat.sendStream(source, exchange.response);
  }

  /** Stops a request's work. Throws `RequestError`. */
  cancel(exchange: HttpExchange): Promise<void> {
    const name = this.nameOf(exchange);
    const point = this.readPoint(exchange.request, name);
    if (!this.parts.models.cancel(name, point)) throw notKnownHere(name);
    exchange.response.writeHead(204, { 'x-request-id': name.requestId });
    exchange.response.end();
    return Promise.resolve();
  }

  /** The checked point of `Last-Event-ID`; undefined where it was not sent. Throws `RequestError`. */
  readPoint(
    request: IncomingMessage,
    name: RequestIdentity,
  ): ResumePoint | undefined {
    const token = request.headers[CallerHeader.LastEventId];
    if (typeof token !== 'string' || token === '') return undefined;
    try {
      return this.parts.tokens.verify(token, name, this.parts.clock.nowMs());
    } catch (error) {
      if (!(error instanceof ResumeTokenError)) throw error;
      throw resumeRefused(error);
    }
  }

  private nameOf({ params, request }: HttpExchange): RequestIdentity {
    const caller = { bearerToken: bearerToken(request) };
    return {
      workspace: workspaceOf(caller, this.parts.directory),
      requestId: params.id ?? '',
    };
  }
}

function resumeRefused(error: ResumeTokenError): RequestError {
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

function notKnownHere(name: RequestIdentity): RequestError {
  return new RequestError({
    kind: RequestErrorKind.NotFound,
    message: `Request ${name.requestId} is not known here.`,
    remedy: 'Send the id of its last event in Last-Event-ID.',
    outcome: RequestOutcome.Unknown,
  });
}
