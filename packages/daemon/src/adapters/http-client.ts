import type { Dispatcher } from 'undici';
import { Agent, request } from 'undici';

import type {
  Address,
  Clock,
  JsonAnswer,
  JsonCall,
  JsonHttp,
} from '@skylarkreach/core/ports';
import {
  AnswerLostError,
  NotFoundError,
  NotSentError,
  RefusedError,
} from '@skylarkreach/core/ports';

const CONNECT_TIMEOUT_MS = 1_000;
const MIN_TIMEOUT_MS = 1;
const MAX_TIMEOUT_MS = 2_147_483_647;
/** Most addresses whose next call dials anew. */
const MAX_SUSPECTS = 4_096; // bounds memory; more than the daemons of the planned size

/** Errors of the connect phase, in which no byte of a request is written. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

export interface HttpCall {
  readonly address: Address;
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly deadlineAtMs: number;
  readonly signal?: AbortSignal;
  /** Dial a connection for this call alone. */
  readonly freshConnection?: boolean;
}

export type HttpResponse = Dispatcher.ResponseData;

/**
 * HTTP calls with a deadline, whose failures tell whether a byte was sent.
 * After a failed call the next one to the address dials anew, since a
 * connection that went silent shows no other sign.
 */
export class HttpClient implements JsonHttp {
  private readonly shared = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  /** Connections of this agent close after each response. */
  private readonly fresh = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 0,
  });

  private readonly waiting = new Set<AbortController>();
  private readonly suspects = new Set<Address>();

  constructor(private readonly clock: Clock) {}

  /** Sends the call and returns the response, whatever its status. */
  async send(call: HttpCall): Promise<HttpResponse> {
    const remainingMs = call.deadlineAtMs - this.clock.nowMs();
    const timeout = AbortSignal.timeout(
      Math.min(
        Math.max(Math.ceil(remainingMs), MIN_TIMEOUT_MS),
        MAX_TIMEOUT_MS,
      ),
    );
    const closing = new AbortController();
    const signals = [timeout, closing.signal];
    const signal = AbortSignal.any(
      call.signal === undefined ? signals : [...signals, call.signal],
    );
    const isSuspect = this.suspects.delete(call.address);
    const isFresh = isSuspect || call.freshConnection === true;
    this.waiting.add(closing);
    try {
      return await request(`http://${call.address}${call.path}`, {
        method: call.method,
        headers: { 'content-type': 'application/json', ...call.headers },
        body: call.body,
        signal,
        dispatcher: isFresh ? this.fresh : this.shared,
      });
    } catch (error) {
      this.suspect(call.address);
      throw toPlatformError(call.address, error);
    } finally {
      this.waiting.delete(closing);
    }
  }

  /** Sends the call and reads its JSON answer; throws on any status but success. */
  async sendJson(call: HttpCall): Promise<unknown> {
    const response = await this.send(call);
    await checkStatus(call.address, response);
    try {
      return await response.body.json();
    } catch (error) {
      this.suspect(call.address);
      throw new AnswerLostError(
        `The answer of ${call.address} was cut off or is not JSON.`,
        { cause: error },
      );
    }
  }

  async exchange(call: JsonCall): Promise<JsonAnswer> {
    const { body, ...rest } = call;
    const response = await this.send({
      ...rest,
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    try {
      const text = await response.body.text();
      const answer: unknown = text === '' ? undefined : JSON.parse(text);
      return { status: response.statusCode, body: answer };
    } catch (error) {
      this.suspect(call.address);
      throw new AnswerLostError(
        `The answer of ${call.address} was cut off or is not JSON.`,
        { cause: error },
      );
    }
  }

  private suspect(address: Address): void {
    if (this.suspects.size >= MAX_SUSPECTS) this.suspects.clear();
    this.suspects.add(address);
  }

  /** Ends every call; an agent by itself leaves calls on fresh connections waiting. */
  async close(): Promise<void> {
    for (const closing of this.waiting) closing.abort();
    await Promise.all([this.shared.destroy(), this.fresh.destroy()]);
  }
}

/** Throws the platform's error for a status other than success. */
export async function checkStatus(
  address: Address,
  response: HttpResponse,
): Promise<void> {
  const { statusCode } = response;
  if (statusCode < 300) return;
  await response.body.dump();
  if (statusCode === 404) {
    throw new NotFoundError(`${address} does not know what was asked for.`);
  }
  if (statusCode === 503) {
    const isLeaving = response.headers['x-leaving'] === 'true';
    throw new RefusedError(`${address} takes no new work.`, isLeaving);
  }
  throw new AnswerLostError(`${address} answered with status ${statusCode}.`);
}

/** Whether an error of undici is of the connect phase, in which no byte of a request is written. */
export function isConnectError(error: unknown): boolean {
  const isCoded = error instanceof Error && 'code' in error;
  return isCoded && CONNECT_ERROR_CODES.has(String(error.code));
}

function toPlatformError(address: Address, error: unknown): Error {
  if (isConnectError(error)) {
    return new NotSentError(
      `${address} cannot be reached (${String(error)}).`,
      {
        cause: error,
      },
    );
  }
  return new AnswerLostError(
    `The call to ${address} got no answer (${String(error)}).`,
    { cause: error },
  );
}
