import { setTimeout as delay } from 'node:timers/promises';

import type { Agent, Dispatcher } from 'undici';
import { request } from 'undici';

import { AddressRotation } from './address-rotation.js';
import type { Problem } from './errors.js';
import { DeadlineError, parseProblem, ProblemError } from './errors.js';
import type { ServerEvent } from './event-reader.js';
import { readEvents } from './event-reader.js';
import { IdleTimer } from './idle-timer.js';
import type { ChatRequest, ClientOptions } from './requests.js';

const DEFAULT_IDLE_TIMEOUT_MS = 10_000;
/** Fraction of the time to the deadline within which a connection must deliver its first byte. */
const FIRST_BYTE_FRACTION = 0.25;
const MAX_FIRST_BYTE_TIMEOUT_MS = 30_000;
const DONE_MARKER = '[DONE]';
const STREAM_LOST_SUFFIX = ':streamLost';
const NOT_FOUND_SUFFIX = ':notFound';

/** Reason why a connection ended before the answer was complete. */
enum ConnectionEndKind {
  Broken = 'broken',
  Moved = 'moved',
  Problem = 'problem',
}

type ConnectionEnd =
  | { readonly kind: ConnectionEndKind.Broken }
  | { readonly kind: ConnectionEndKind.Moved; readonly url: string }
  | { readonly kind: ConnectionEndKind.Problem; readonly problem: Problem };

const BROKEN: ConnectionEnd = { kind: ConnectionEndKind.Broken };

/** Request that a stream follows, and the point from which it resumes. */
export interface StreamParams {
  readonly requestId: string;
  readonly deadlineAtMs: number;
  /** Undefined where the stream was started by another process, so that the request cannot be sent again. */
  readonly chat: ChatRequest | undefined;
  readonly lastEventId: string | undefined;
}

/**
 * Stream of one answer. Resumes after connection failures and redirects, on any
 * daemon, until the answer is complete or its deadline has passed.
 */
export class AnswerStream {
  /** Id of the last event received; another process can resume the stream from it. */
  lastEventId: string | undefined;
  private receivedText = '';
  private redirectUrl: string | undefined;
  /** Whether the next request sends the chat request again instead of resuming by its id. */
  private mustResend: boolean;
  private isFinished = false;
  private readonly addressRotation: AddressRotation;

  constructor(
    private readonly options: ClientOptions,
    private readonly agent: Agent,
    private readonly params: StreamParams,
  ) {
    this.lastEventId = params.lastEventId;
    this.mustResend = params.chat !== undefined;
    this.addressRotation = new AddressRotation(options.addresses);
  }

  /** Yields the text of the answer in order. Throws `ProblemError` or `DeadlineError`. */
  async *textChunks(): AsyncGenerator<string, void, undefined> {
    for (;;) {
      const end = yield* this.followConnection();
      if (this.isFinished) return;
      await this.prepareNextConnection(end);
    }
  }

  /** Yields the text that one connection delivers, and returns why it ended. */
  private async *followConnection(): AsyncGenerator<
    string,
    ConnectionEnd,
    undefined
  > {
    const idleTimer = new IdleTimer(this.firstByteTimeoutMs());
    try {
      const response = await this.sendRequest(idleTimer.signal);
      if (response.statusCode !== 200)
        return await connectionEndOfResponse(response);
      return yield* this.readAnswer(response, idleTimer);
    } catch {
      return BROKEN;
    } finally {
      idleTimer.stop();
    }
  }

  /**
   * Returns the timeout to the first byte, in milliseconds. It is a fraction of
   * the time to the deadline, so that a connection that never delivers a byte
   * leaves time to try another daemon.
   */
  private firstByteTimeoutMs(): number {
    const { firstByteTimeoutMs, silenceTimeoutMs } = this.options;
    if (firstByteTimeoutMs !== undefined) return firstByteTimeoutMs;
    const remainingMs = this.params.deadlineAtMs - Date.now();
    const fractionMs = remainingMs * FIRST_BYTE_FRACTION;
    const minMs = silenceTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS;
    return Math.min(MAX_FIRST_BYTE_TIMEOUT_MS, Math.max(minMs, fractionMs));
  }

  private async *readAnswer(
    response: Dispatcher.ResponseData,
    idleTimer: IdleTimer,
  ): AsyncGenerator<string, ConnectionEnd, undefined> {
    this.addressRotation.recordSuccess();
    const timeoutMs = this.options.silenceTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS;
    const restartTimer = () => {
      idleTimer.restart(timeoutMs);
    };
    restartTimer();
    for await (const event of readEvents(response.body, restartTimer)) {
      const end = this.connectionEndOf(event);
      if (end !== undefined) return end;
      idleTimer.pause();
      yield* this.applyData(event);
      restartTimer();
      if (this.isFinished) return BROKEN;
    }
    return BROKEN;
  }

  private sendRequest(signal: AbortSignal): Promise<Dispatcher.ResponseData> {
    const { chat, deadlineAtMs, requestId } = this.params;
    const headers: Record<string, string> = {
      authorization: `Bearer ${this.options.token}`,
      'x-request-id': requestId,
      'skylarkreach-deadline': new Date(deadlineAtMs).toISOString(),
    };
    if (this.lastEventId !== undefined) {
      headers['last-event-id'] = this.lastEventId;
    }
    const requestOptions = { dispatcher: this.agent, signal };
    if (this.mustResend && chat !== undefined) {
      if (chat.kind !== undefined) headers['skylarkreach-kind'] = chat.kind;
      return request(`${this.addressRotation.current}/v1/chat/completions`, {
        ...requestOptions,
        method: 'POST',
        headers: { ...headers, 'content-type': 'application/json' },
        body: this.chatBody(chat),
      });
    }
    const path = `/v1/requests/${encodeURIComponent(requestId)}/events`;
    const url = this.redirectUrl ?? `${this.addressRotation.current}${path}`;
    return request(url, { ...requestOptions, method: 'GET', headers });
  }

  private chatBody(chat: ChatRequest): string {
    const hasReceivedText = this.lastEventId !== undefined;
    return JSON.stringify({
      messages: chat.messages,
      stream: true,
      ...(chat.maxTokens === undefined ? {} : { max_tokens: chat.maxTokens }),
      ...(hasReceivedText ? { received_text: this.receivedText } : {}),
    });
  }

  private connectionEndOf({
    data,
    event,
  }: ServerEvent): ConnectionEnd | undefined {
    if (event === 'moved') {
      const { url } = JSON.parse(data) as { url: string };
      return { kind: ConnectionEndKind.Moved, url };
    }
    if (event !== 'error') return undefined;
    const problem = parseProblem(data);
    return problem === undefined
      ? BROKEN
      : { kind: ConnectionEndKind.Problem, problem };
  }

  private *applyData({
    data,
    id,
  }: ServerEvent): Generator<string, void, undefined> {
    if (data === DONE_MARKER) {
      this.isFinished = true;
      return;
    }
    const text = chunkText(data);
    this.lastEventId = id ?? this.lastEventId;
    this.receivedText += text;
    if (text !== '') yield text;
  }

  /** Chooses the address and the kind of the next request. Throws where no retry is possible. */
  private async prepareNextConnection(end: ConnectionEnd): Promise<void> {
    const { chat, deadlineAtMs, requestId } = this.params;
    if (Date.now() >= deadlineAtMs) throw new DeadlineError(requestId);
    if (end.kind === ConnectionEndKind.Moved) {
      this.redirectUrl = end.url;
      this.mustResend = false;
      return;
    }
    this.redirectUrl = undefined;
    this.mustResend = chat !== undefined && this.lastEventId === undefined;
    if (end.kind === ConnectionEndKind.Broken) {
      await this.delayWithinDeadline(
        this.addressRotation.advanceAfterFailure(),
      );
      return;
    }
    await this.prepareAfterProblem(end.problem);
  }

  private async prepareAfterProblem(problem: Problem): Promise<void> {
    const { chat } = this.params;
    const isStreamUnknown =
      problem.type.endsWith(STREAM_LOST_SUFFIX) ||
      problem.type.endsWith(NOT_FOUND_SUFFIX);
    if (isStreamUnknown && chat !== undefined) {
      this.mustResend = true;
      await this.delayWithinDeadline(
        this.addressRotation.advanceAfterFailure(),
      );
      return;
    }
    if (problem.retryAt === undefined) throw new ProblemError(problem);
    const failureDelayMs = this.addressRotation.advanceAfterFailure();
    // Another daemon may accept the request now; wait only after all have failed.
    const retryDelayMs = Date.parse(problem.retryAt) - Date.now();
    await this.delayWithinDeadline(failureDelayMs === 0 ? 0 : retryDelayMs);
  }

  /** Waits. Throws `DeadlineError` at once where the delay would exceed the deadline. */
  private async delayWithinDeadline(delayMs: number): Promise<void> {
    const { deadlineAtMs, requestId } = this.params;
    const remainingMs = deadlineAtMs - Date.now();
    if (remainingMs <= delayMs) throw new DeadlineError(requestId);
    if (delayMs > 0) await delay(delayMs);
  }
}

/** Returns the redirect of a 303 response or the problem of any other error response. */
async function connectionEndOfResponse(
  response: Dispatcher.ResponseData,
): Promise<ConnectionEnd> {
  const { location } = response.headers;
  const text = await response.body.text();
  if (response.statusCode === 303 && typeof location === 'string') {
    return { kind: ConnectionEndKind.Moved, url: location };
  }
  const problem = parseProblem(text);
  return problem === undefined
    ? BROKEN
    : { kind: ConnectionEndKind.Problem, problem };
}

/** Returns the text of one chunk in the OpenAI streaming format. */
function chunkText(data: string): string {
  const chunk = JSON.parse(data) as {
    readonly choices?: readonly {
      readonly delta?: { readonly content?: string };
    }[];
  };
  return chunk.choices?.[0]?.delta?.content ?? '';
}
