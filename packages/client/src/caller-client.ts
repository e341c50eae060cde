import { randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';

import type { Dispatcher } from 'undici';
import { Agent, request } from 'undici';

import { AddressRing } from './address-rotation.js';
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
  ServiceAnswer,
  ServiceRequest,
} from './requests.js';

const CONNECT_TIMEOUT_MS = 1_000;
const CANCEL_TIMEOUT_MS = 2_000;
/** Longest delay that a Node.js timer takes. */
const MAX_TIMER_MS = 2_147_483_647;

/** Errors of the connect phase, in which no byte of a request is written. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Sends requests and brings back whole answers: resumes broken streams,
 * follows pointers to other daemons and sends again what may be sent again.
 */
export class CallerClient {
  /** Each connection serves one request, since an idle one may have gone silent. */
  private readonly agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 0,
  });

  constructor(private readonly options: ClientOptions) {}

  /** The whole answer's text. Throws `ProblemError` or `DeadlineError`. */
  async send(chat: ChatRequest): Promise<string> {
    return join(this.stream(chat));
  }

  /** The answer's text as it is generated. Throws `ProblemError` or `DeadlineError`. */
  stream(chat: ChatRequest): AsyncGenerator<string, void, undefined> {
    return this.open(chat).texts();
  }

  /** Like `stream`, with the id of the last event for a resume in another process. */
  open(chat: ChatRequest): AnswerStream {
    return new AnswerStream(this.options, this.agent, {
      requestId: chat.requestId ?? randomUUID(),
      deadlineAtMs: chat.deadlineAtMs,
      lastEventId: undefined,
      chat,
    });
  }

  /** Goes on with a stream that this or another process began. */
  resume(resumed: ResumeRequest): AsyncGenerator<string, void, undefined> {
    const { deadlineAtMs, lastEventId, requestId } = resumed;
    const chat = undefined;
    const beginning = { requestId, deadlineAtMs, lastEventId, chat };
    return new AnswerStream(this.options, this.agent, beginning).texts();
  }

  /** The whole answer of a request sent before. Throws `ProblemError` where no daemon knows it. */
  async outcome(requestId: string, deadlineAtMs: number): Promise<string> {
    return join(this.resume({ requestId, deadlineAtMs }));
  }

  /** Asks a daemon to stop a request's work; false where it did not know the request. */
  async cancel(requestId: string, lastEventId?: string): Promise<boolean> {
    const address = this.options.addresses[0] ?? '';
    const path = `/v1/requests/${encodeURIComponent(requestId)}`;
    const token =
      lastEventId === undefined ? {} : { 'last-event-id': lastEventId };
    const response = await request(`${address}${path}`, {
      method: 'DELETE',
      dispatcher: this.agent,
      headers: { authorization: `Bearer ${this.options.token}`, ...token },
      signal: AbortSignal.timeout(CANCEL_TIMEOUT_MS),
    });
    await response.body.dump();
    return response.statusCode === 204;
  }

  /**
   * Calls a plain service. A call with a key is sent again until it has an
   * outcome; one without a key only where no byte of it was sent or a daemon
   * says that it did not run. Throws `ProblemError`, `OutcomeUnknownError` or
   * `DeadlineError`.
   */
  async call(call: ServiceRequest): Promise<ServiceAnswer> {
    const ring = new AddressRing(this.options.addresses);
    const requestId = randomUUID();
    while (Date.now() < call.deadlineAtMs) {
      const answer = await this.tryCall(call, requestId, ring.current);
      if (answer !== undefined) return answer;
      await delay(ring.nextAfterFailure());
    }
    throw new DeadlineError(requestId);
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  /** One try; undefined where another may follow. */
  private async tryCall(
    call: ServiceRequest,
    requestId: string,
    address: string,
  ): Promise<ServiceAnswer | undefined> {
    try {
      const response = await this.sendCall(call, requestId, address);
      return readAnswer(response.statusCode, await response.body.text());
    } catch (error) {
      if (error instanceof ProblemError) throw error;
      const mayRepeat = call.idempotencyKey !== undefined || isNotSent(error);
      if (!mayRepeat) throw new OutcomeUnknownError({ cause: error });
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

/** The service's answer; undefined where the call did not run and may be sent again. */
function readAnswer(status: number, body: string): ServiceAnswer | undefined {
  const problem = status < 400 ? undefined : parseProblem(body);
  if (problem === undefined) return { status, body };
  const { outcome, retryAt } = problem;
  const mayRepeat = outcome === Outcome.NotRun && retryAt !== undefined;
  if (!mayRepeat) throw new ProblemError(problem);
  return undefined;
}

function isNotSent(error: unknown): boolean {
  const code =
    error instanceof Error && 'code' in error ? String(error.code) : '';
  return CONNECT_ERROR_CODES.has(code);
}

async function join(texts: AsyncIterable<string>): Promise<string> {
  let whole = '';
  for await (const text of texts) whole += text;
  return whole;
}
