import { randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';

import type { Dispatcher } from 'undici';
import { Agent, request } from 'undici';

import { AddressRotation } from './address-rotation.js';
import { AnswerStream } from './answer-stream.js';
import {
  DeadlineError,
  Outcome,
  OutcomeUnknownError,
  parseProblem,
  ProblemError,
} from './errors.js';
import type {
  ChatRequest,
  ClientOptions,
  ResumeRequest,
  ServiceRequest,
  ServiceResponse,
} from './requests.js';

const CONNECT_TIMEOUT_MS = 1_000;
const CANCEL_TIMEOUT_MS = 2_000;
/** Maximum delay of a Node.js timer, in milliseconds. */
const MAX_TIMER_MS = 2_147_483_647;

/** Error codes of the connect phase, before any byte of a request is written. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Client of the daemons. Resumes broken streams, follows redirects to other
 * daemons and retries requests that are safe to repeat.
 */
export class CallerClient {
  /** Does not reuse connections, because an idle one may have died unnoticed. */
  private readonly agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 0,
  });

  constructor(private readonly options: ClientOptions) {}

  /** Sends a chat request and returns the whole text of the answer. Throws `ProblemError` or `DeadlineError`. */
  async send(chat: ChatRequest): Promise<string> {
    return joinTexts(this.stream(chat));
  }

  /** Sends a chat request and yields the text as it is generated. Throws `ProblemError` or `DeadlineError`. */
  stream(chat: ChatRequest): AsyncGenerator<string, void, undefined> {
    return this.open(chat).textChunks();
  }

  /** Like `stream`, and exposes the id of the last event, so that another process can resume. */
  open(chat: ChatRequest): AnswerStream {
    return new AnswerStream(this.options, this.agent, {
      requestId: chat.requestId ?? randomUUID(),
      deadlineAtMs: chat.deadlineAtMs,
      lastEventId: undefined,
      chat,
    });
  }

  /** Resumes a stream that this or another process started. */
  resume(
    resumeRequest: ResumeRequest,
  ): AsyncGenerator<string, void, undefined> {
    const { deadlineAtMs, lastEventId, requestId } = resumeRequest;
    const chat = undefined;
    const params = { requestId, deadlineAtMs, lastEventId, chat };
    return new AnswerStream(this.options, this.agent, params).textChunks();
  }

  /** Returns the whole answer of an earlier request. Throws `ProblemError` where no daemon knows the request. */
  async outcome(requestId: string, deadlineAtMs: number): Promise<string> {
    return joinTexts(this.resume({ requestId, deadlineAtMs }));
  }

  /** Cancels a request. Returns false where the daemon did not know it. */
  async cancel(requestId: string, lastEventId?: string): Promise<boolean> {
    const address = this.options.addresses[0] ?? '';
    const path = `/v1/requests/${encodeURIComponent(requestId)}`;
    const lastEventHeaders =
      lastEventId === undefined ? {} : { 'last-event-id': lastEventId };
    const response = await request(`${address}${path}`, {
      method: 'DELETE',
      dispatcher: this.agent,
      headers: {
        authorization: `Bearer ${this.options.token}`,
        ...lastEventHeaders,
      },
      signal: AbortSignal.timeout(CANCEL_TIMEOUT_MS),
    });
    await response.body.dump();
    return response.statusCode === 204;
  }

  /**
   * Calls a plain service. A call with an idempotency key is retried until its
   * outcome is known; a call without one is retried only where no byte of it was
   * sent or a daemon reports that it did not run. Throws `ProblemError`,
   * `OutcomeUnknownError` or `DeadlineError`.
   */
  async call(call: ServiceRequest): Promise<ServiceResponse> {
    const addressRotation = new AddressRotation(this.options.addresses);
    const requestId = randomUUID();
    while (Date.now() < call.deadlineAtMs) {
      const response = await this.attemptCall(
        call,
        requestId,
        addressRotation.current,
      );
      if (response !== undefined) return response;
      await delay(addressRotation.advanceAfterFailure());
    }
    throw new DeadlineError(requestId);
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  /** Makes one attempt. Returns undefined where the call may be retried. */
  private async attemptCall(
    call: ServiceRequest,
    requestId: string,
    address: string,
  ): Promise<ServiceResponse | undefined> {
    try {
      const response = await this.sendCall(call, requestId, address);
      return parseServiceResponse(
        response.statusCode,
        await response.body.text(),
      );
    } catch (error) {
      if (error instanceof ProblemError) throw error;
      const mayRetry =
        call.idempotencyKey !== undefined || isConnectError(error);
      if (!mayRetry) throw new OutcomeUnknownError({ cause: error });
      return undefined;
    }
  }

  private sendCall(
    call: ServiceRequest,
    requestId: string,
    address: string,
  ): Promise<Dispatcher.ResponseData> {
    const headers: Record<string, string> = {
      authorization: `Bearer ${this.options.token}`,
      'content-type': 'application/json',
      'x-request-id': requestId,
      'skylarkreach-deadline': new Date(call.deadlineAtMs).toISOString(),
    };
    if (call.kind !== undefined) headers['skylarkreach-kind'] = call.kind;
    if (call.idempotencyKey !== undefined) {
      headers['idempotency-key'] = call.idempotencyKey;
    }
    const remainingMs = call.deadlineAtMs - Date.now();
    return request(`${address}/v1/services/${call.service}${call.path}`, {
      method: call.method,
      dispatcher: this.agent,
      headers,
      body: call.body,
      signal: AbortSignal.timeout(
        Math.min(Math.max(1, remainingMs), MAX_TIMER_MS),
      ),
    });
  }
}

/** Returns the response of the service, or undefined where the call did not run and may be retried. */
function parseServiceResponse(
  status: number,
  body: string,
): ServiceResponse | undefined {
  const problem = status < 400 ? undefined : parseProblem(body);
  if (problem === undefined) return { status, body };
  const { outcome, retryAt } = problem;
  const mayRetry = outcome === Outcome.NotRun && retryAt !== undefined;
  if (!mayRetry) throw new ProblemError(problem);
  return undefined;
}

function isConnectError(error: unknown): boolean {
  const code =
    error instanceof Error && 'code' in error ? String(error.code) : '';
  return CONNECT_ERROR_CODES.has(code);
}

async function joinTexts(texts: AsyncIterable<string>): Promise<string> {
  let joined = '';
  for await (const text of texts) joined += text;
  return joined;
}
