import type { Dispatcher } from 'undici';
import { Agent, Pool } from 'undici';

import type {
  Address,
  Clock,
  JsonHttpClient,
  JsonRequest,
  JsonResponse,
} from '@skylarkreach/core/ports';
import {
  AnswerLostError,
  NotFoundError,
  NotSentError,
  RefusedError,
} from '@skylarkreach/core/ports';

import { createConnector } from './connector.js';
import type { WriteCondition } from './revocable-client.js';
import { RevocableClient } from './revocable-client.js';

const CONNECT_TIMEOUT_MS = 1_000;
const MIN_TIMEOUT_MS = 1;
const MAX_TIMEOUT_MS = 2_147_483_647;
/** Maximum number of addresses that are marked as suspect. */
const MAX_SUSPECT_ADDRESSES = 4_096; // bounds memory; above the number of daemons at the planned scale

/** Error codes of the connect phase, in which no byte of a request is written. */
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
  /** Whether to open a new connection that serves this call alone. */
  readonly freshConnection?: boolean;
  /** Asked right before the call is written. */
  readonly mayWrite?: () => boolean;
  /** Whether it does no harm if the call arrives after it was given up; otherwise its connection is reset then. */
  readonly mayArriveLate?: boolean;
}

export type HttpResponse = Dispatcher.ResponseData;

/**
 * HTTP client whose calls have a deadline and whose errors tell whether any
 * byte was sent. After a failed call, the next call to the same address uses a
 * new connection, because an unresponsive connection shows no other sign.
 */
export class HttpClient implements JsonHttpClient {
  /** Conditions of calls, by the options of the request. */
  private readonly conditions = new WeakMap<object, WriteCondition>();
  private readonly sharedAgent = createAgent(this.conditions);
  /** Agent whose connections close after each response. */
  private readonly singleUseAgent = createAgent(this.conditions, 0);

  private readonly inFlight = new Set<AbortController>();
  /** Addresses whose next call uses a new connection. */
  private readonly suspectAddresses = new Set<Address>();

  constructor(private readonly clock: Clock) {}

  /** Sends the call and returns the response, whatever its status. Throws `NotSentError` or `AnswerLostError`. */
  async send(call: HttpCall): Promise<HttpResponse> {
    const remainingMs = call.deadlineAtMs - this.clock.nowMs();
    const callAbort = new AbortController();
    // A timeout signal that only a combined signal follows may be garbage collected before it fires.
    const timer = setTimeout(
      () => {
        callAbort.abort(
          new DOMException('The call has timed out.', 'TimeoutError'),
        );
      },
      Math.min(
        Math.max(Math.ceil(remainingMs), MIN_TIMEOUT_MS),
        MAX_TIMEOUT_MS,
      ),
    ).unref();
    const signal =
      call.signal === undefined
        ? callAbort.signal
        : AbortSignal.any([callAbort.signal, call.signal]);
    const isSuspect = this.suspectAddresses.delete(call.address);
    const usesNewConnection = isSuspect || call.freshConnection === true;
    const agent = usesNewConnection ? this.singleUseAgent : this.sharedAgent;
    this.inFlight.add(callAbort);
    let isWritten = false;
    try {
      const options = {
        origin: `http://${call.address}`,
        path: call.path,
        method: call.method,
        headers: { 'content-type': 'application/json', ...call.headers },
        body: call.body,
        signal,
      };
      this.conditions.set(options, {
        mayWrite: () => {
          const isDue =
            !signal.aborted && this.clock.nowMs() < call.deadlineAtMs;
          isWritten = isDue && call.mayWrite?.() !== false;
          return isWritten;
        },
        mayArriveLate: call.mayArriveLate === true,
      });
      const response = await agent.request(options);
      response.body.once('close', () => {
        clearTimeout(timer);
      });
      return response;
    } catch (error) {
      clearTimeout(timer);
      this.markSuspect(call.address);
      throw toPlatformError(call.address, error, isWritten);
    } finally {
      this.inFlight.delete(callAbort);
    }
  }

  /** Sends the call and returns its parsed JSON response. Throws on any status other than success. */
  async sendJson(call: HttpCall): Promise<unknown> {
    const response = await this.send(call);
    await throwUnlessSuccessful(call.address, response);
    try {
      return await response.body.json();
    } catch (error) {
      this.markSuspect(call.address);
      throw new AnswerLostError(
        `The response from ${call.address} was truncated or is not valid JSON.`,
        { cause: error },
      );
    }
  }

  async exchange(call: JsonRequest): Promise<JsonResponse> {
    const { body, ...rest } = call;
    const response = await this.send({
      ...rest,
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    try {
      const text = await response.body.text();
      const parsedBody: unknown = text === '' ? undefined : JSON.parse(text);
      const { headers, statusCode: status } = response;
      return { status, headers, body: parsedBody };
    } catch (error) {
      this.markSuspect(call.address);
      throw new AnswerLostError(
        `The response from ${call.address} was truncated or is not valid JSON.`,
        { cause: error },
      );
    }
  }

  private markSuspect(address: Address): void {
    if (this.suspectAddresses.size >= MAX_SUSPECT_ADDRESSES)
      this.suspectAddresses.clear();
    this.suspectAddresses.add(address);
  }

  /** Aborts every call and closes all connections. Destroying an agent alone leaves calls on new connections pending. */
  async close(): Promise<void> {
    for (const callAbort of this.inFlight) callAbort.abort();
    await Promise.all([
      this.sharedAgent.destroy(),
      this.singleUseAgent.destroy(),
    ]);
  }
}

/** Creates an agent for the calls of one client. */
function createAgent(
  conditions: WeakMap<object, WriteCondition>,
  pipelining?: number,
): Agent {
  const connect = createConnector({ timeout: CONNECT_TIMEOUT_MS });
  return new Agent({
    ...(pipelining === undefined ? {} : { pipelining }),
    headersTimeout: 0,
    bodyTimeout: 0,
    factory: (origin, poolOptions: Pool.Options) =>
      new Pool(origin, {
        ...poolOptions,
        factory: (clientOrigin, clientOptions) =>
          new RevocableClient(clientOrigin, clientOptions, connect, conditions),
      }),
  });
}

/** Throws the platform error that corresponds to a status other than success. */
export async function throwUnlessSuccessful(
  address: Address,
  response: HttpResponse,
): Promise<void> {
  const { statusCode } = response;
  if (statusCode < 300) return;
  await response.body.dump();
  if (statusCode === 404) {
    throw new NotFoundError(`${address} does not have the requested resource.`);
  }
  if (statusCode === 503) {
    const isLeaving = response.headers['x-leaving'] === 'true';
    throw new RefusedError(`${address} accepts no new work.`, isLeaving);
  }
  throw new AnswerLostError(`${address} responded with status ${statusCode}.`);
}

/** Returns whether an undici error belongs to the connect phase, in which no byte of a request is written. */
export function isConnectError(error: unknown): boolean {
  const hasCode = error instanceof Error && 'code' in error;
  return hasCode && CONNECT_ERROR_CODES.has(String(error.code));
}

function toPlatformError(
  address: Address,
  error: unknown,
  isWritten: boolean,
): Error {
  return isWritten
    ? new AnswerLostError(
        `The call to ${address} received no response (${String(error)}).`,
        { cause: error },
      )
    : new NotSentError(
        `The call to ${address} was not sent (${String(error)}).`,
        { cause: error },
      );
}
