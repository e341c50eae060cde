import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { StateSource } from '@skylarkreach/core/ports';
import { PlatformError } from '@skylarkreach/core/ports';

import type { HttpHandler } from '../http/index.js';
import { bearerToken, BodyError, HttpRouter, readBody } from '../http/index.js';
import type { Settings } from '../settings/index.js';

const MAX_BODY_BYTES = 1_000_000;
const BODY_TIMEOUT_MS = 10_000;

/** Answer of an operators' call. */
export interface OperatorAnswer {
  readonly status: number;
  readonly body: unknown;
}

export interface OperatorCall {
  /** Name of the operator whose credential was sent. */
  readonly operator: string;
  readonly url: URL;
  readonly params: Readonly<Record<string, string>>;
  readonly body: string;
}

export type OperatorHandler = (call: OperatorCall) => Promise<OperatorAnswer>;

export interface OperatorServerParts {
  readonly operators: Settings['credentials']['operators'];
  readonly status: () => unknown;
}

/** HTTP interface for operators. Every call needs an operator's credential. */
export class OperatorServer {
  private readonly router = new HttpRouter();
  private readonly sources: StateSource[] = [];

  constructor(private readonly parts: OperatorServerParts) {
    this.add('GET', '/v1/status', () => ok(this.parts.status()));
    this.add('GET', '/v1/dump', () => ok(this.dump()));
  }

  /** Adds a part to what `GET /v1/dump` shows. */
  addSource(source: StateSource): void {
    this.sources.push(source);
  }

  /** Adds a call of a feature. */
  add(method: string, path: string, handler: OperatorHandler): void {
    this.router.add(method, path, this.authenticated(handler));
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const handler = this.router.find(request, response);
    if (handler === undefined) {
      const answer = failure(404, 'There is no such call.', 'See --help.');
      sendAnswer(response, answer);
      return;
    }
    await handler();
  }

  private dump(): Record<string, unknown> {
    return Object.fromEntries(
      this.sources.map(source => [source.name, source.dumpState()]),
    );
  }

  private authenticated(handler: OperatorHandler): HttpHandler {
    return async ({ params, request, response, url }) => {
      const operator = this.operatorOf(request);
      if (operator === undefined) {
        const answer = failure(
          401,
          'The operator credential is missing or unknown.',
          'Set SKYLARKREACH_TOKEN to a token whose hash is in the settings.',
        );
        sendAnswer(response, answer);
        return;
      }
      sendAnswer(
        response,
        await this.answer(handler, { operator, params, url }, request),
      );
    };
  }

  private async answer(
    handler: OperatorHandler,
    call: Omit<OperatorCall, 'body'>,
    request: IncomingMessage,
  ): Promise<OperatorAnswer> {
    try {
      const body = await readBody(request, {
        maxBytes: MAX_BODY_BYTES,
        timeout: AbortSignal.timeout(BODY_TIMEOUT_MS),
      });
      return await handler({ ...call, body });
    } catch (error) {
      if (error instanceof BodyError) {
        return failure(413, error.message, 'Send a smaller body.');
      }
      if (error instanceof PlatformError) {
        return failure(503, error.message, 'Try again when it is back.');
      }
      return failure(500, String(error), 'Read the daemon log.');
    }
  }

  private operatorOf(request: IncomingMessage): string | undefined {
    const token = bearerToken(request);
    if (token === undefined) return undefined;
    const digest = createHash('sha256').update(token).digest();
    return this.parts.operators.find(operator =>
      timingSafeEqual(Buffer.from(operator.sha256, 'hex'), digest),
    )?.name;
  }
}

export function ok(body: unknown): Promise<OperatorAnswer> {
  return Promise.resolve({ status: 200, body });
}

export function failure(
  status: number,
  message: string,
  remedy: string,
): OperatorAnswer {
  return { status, body: { message, remedy } };
}

function sendAnswer(response: ServerResponse, answer: OperatorAnswer): void {
  response.writeHead(answer.status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(answer.body));
}
