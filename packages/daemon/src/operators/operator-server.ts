import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { RequestMemory } from '@skylarkreach/core/forwarding';
import type { StateSource } from '@skylarkreach/core/ports';
import { PlatformError } from '@skylarkreach/core/ports';

import type { HttpHandler } from '../http/index.js';
import {
  bearerToken,
  BodyError,
  BodyErrorKind,
  HttpRouter,
  readBody,
} from '../http/index.js';
import type { Settings } from '../settings/index.js';

const MAX_BODY_BYTES = 1_000_000;
const BODY_TIMEOUT_MS = 10_000;

/** Response to an operator's request; the body is sent as JSON. */
export interface OperatorResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Authenticated request of an operator. */
export interface OperatorRequest {
  /** Name of the operator whose token the request carries. */
  readonly operator: string;
  readonly url: URL;
  /** Parameters of the path. */
  readonly params: Readonly<Record<string, string>>;
  readonly body: string;
}

export type OperatorHandler = (
  call: OperatorRequest,
) => Promise<OperatorResponse>;

export interface OperatorServerDependencies {
  readonly operators: Settings['credentials']['operators'];
  readonly status: () => unknown;
  readonly requestMemory: RequestMemory;
}

/** HTTP server for operators. Every request needs an operator's bearer token. */
export class OperatorServer {
  private readonly router = new HttpRouter();
  private readonly sources: StateSource[] = [];

  constructor(private readonly deps: OperatorServerDependencies) {
    this.addRoute('GET', '/v1/status', () => ok(this.deps.status()));
    this.addRoute('GET', '/v1/dump', () => ok(this.dumpStates()));
  }

  /** Adds a component whose state `GET /v1/dump` shows. */
  addStateSource(source: StateSource): void {
    this.sources.push(source);
  }

  /** Adds a route whose handler runs for authenticated operators only. */
  addRoute(method: string, path: string, handler: OperatorHandler): void {
    this.router.add(method, path, this.authenticated(handler));
  }

  /** Answers one HTTP request. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const handler = this.router.find(request, response);
    if (handler === undefined) {
      const notFound = failure(404, 'The route does not exist.', 'See --help.');
      sendResponse(response, notFound);
      return;
    }
    await handler();
  }

  private dumpStates(): Record<string, unknown> {
    return Object.fromEntries(
      this.sources.map(source => [source.name, source.dumpState()]),
    );
  }

  private authenticated(handler: OperatorHandler): HttpHandler {
    return async ({ params, request, response, url }) => {
      const operator = this.findOperator(request);
      if (operator === undefined) {
        const unauthorized = failure(
          401,
          'The operator token is missing or unknown.',
          'Set SKYLARKREACH_TOKEN to a token whose hash is in the settings.',
        );
        sendResponse(response, unauthorized);
        return;
      }
      sendResponse(
        response,
        await this.runHandler(handler, { operator, params, url }, request),
      );
    };
  }

  private async runHandler(
    handler: OperatorHandler,
    operatorRequest: Omit<OperatorRequest, 'body'>,
    request: IncomingMessage,
  ): Promise<OperatorResponse> {
    const memory = this.deps.requestMemory.open(
      `operators/${operatorRequest.operator}`,
    );
    try {
      const body = await readBody(request, {
        maxBytes: MAX_BODY_BYTES,
        timeout: AbortSignal.timeout(BODY_TIMEOUT_MS),
        memory,
      });
      return await handler({ ...operatorRequest, body });
    } catch (error) {
      if (error instanceof BodyError) {
        if (error.kind === BodyErrorKind.NoMemory)
          return failure(503, error.message, 'Send the request again later.');
        return failure(413, error.message, 'Send a smaller body.');
      }
      if (error instanceof PlatformError) {
        return failure(
          503,
          error.message,
          'Try again when the service is available.',
        );
      }
      return failure(500, String(error), 'Read the daemon log.');
    } finally {
      memory.close();
    }
  }

  private findOperator(request: IncomingMessage): string | undefined {
    const token = bearerToken(request);
    if (token === undefined) return undefined;
    const digest = createHash('sha256').update(token).digest();
    return this.deps.operators.find(operator =>
      timingSafeEqual(Buffer.from(operator.sha256, 'hex'), digest),
    )?.name;
  }
}

/** Returns a response of status 200. */
export function ok(body: unknown): Promise<OperatorResponse> {
  return Promise.resolve({ status: 200, body });
}

/** Returns an error response with a message and its remedy. */
export function failure(
  status: number,
  message: string,
  remedy: string,
): OperatorResponse {
  return { status, body: { message, remedy } };
}

function sendResponse(
  response: ServerResponse,
  operatorResponse: OperatorResponse,
): void {
  // The next request on the connection would wait behind the unread rest of a refused body.
  if (hasUnreadBody(response.req)) response.shouldKeepAlive = false;
  response.writeHead(operatorResponse.status, {
    'content-type': 'application/json',
  });
  response.end(JSON.stringify(operatorResponse.body));
}

/** A request without a body is not complete either while its head is being handled. */
function hasUnreadBody({ complete, headers }: IncomingMessage): boolean {
  const hasBody =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  return hasBody && !complete;
}
