import { setTimeout as delay } from 'node:timers/promises';

import type { Agent, Dispatcher } from 'undici';
import { request } from 'undici';

import { AddressRing } from './address-rotation.js';
import type { Problem } from './errors.js';
import { DeadlineError, parseProblem, ProblemError } from './errors.js';
import type { ServerEvent } from './event-reader.js';
import { readEvents } from './event-reader.js';
import type { ChatRequest, ClientOptions } from './requests.js';
import { SilenceTimer } from './idle-timer.js';

const DEFAULT_SILENCE_TIMEOUT_MS = 10_000;
/** Part of the time to the deadline that one connection may take to its first byte. */
const FIRST_BYTE_FRACTION = 0.25;
const MAX_FIRST_BYTE_TIMEOUT_MS = 30_000;
const DONE = '[DONE]';
const STREAM_LOST = ':streamLost';
const NOT_FOUND = ':notFound';

/** Why a connection ended before the answer did. */
enum ConnectionEnd {
  Broken = 'broken',
  Moved = 'moved',
  Problem = 'problem',
}

type EndOfConnection =
  | { readonly kind: ConnectionEnd.Broken }
  | { readonly kind: ConnectionEnd.Moved; readonly url: string }
  | { readonly kind: ConnectionEnd.Problem; readonly problem: Problem };

const BROKEN: EndOfConnection = { kind: ConnectionEnd.Broken };

/** What a stream begins with. */
export interface StreamBeginning {
  readonly requestId: string;
  readonly deadlineAtMs: number;
  /** Undefined where a stream of another process is resumed. */
  readonly chat: ChatRequest | undefined;
  readonly lastEventId: string | undefined;
}

/** Follows one answer to its end over as many connections and daemons as it takes. */
export class AnswerStream {
  /** Id of the last event received, for a resume in another process. */
  lastEventId: string | undefined;
  private text = '';
  private movedTo: string | undefined;
  private mustResend: boolean;
  private finished = false;
  private readonly ring: AddressRing;

  constructor(
    private readonly options: ClientOptions,
    private readonly agent: Agent,
    private readonly beginning: StreamBeginning,
  ) {
    this.lastEventId = beginning.lastEventId;
    this.mustResend = beginning.chat !== undefined;
    this.ring = new AddressRing(options.addresses);
  }

  /** Yields the answer's text in order. Throws `ProblemError` or `DeadlineError`. */
  async *texts(): AsyncGenerator<string, void, undefined> {
    for (;;) {
      const end = yield* this.followConnection();
      if (this.finished) return;
      await this.prepareNext(end);
    }
  }

  private async *followConnection(): AsyncGenerator<
    string,
    EndOfConnection,
    undefined
  > {
    const silence = new SilenceTimer(this.firstByteTimeoutMs());
    try {
      const response = await this.open(silence.signal);
      if (response.statusCode !== 200) return await endOfRefusal(response);
      return yield* this.readAnswer(response, silence);
    } catch {
      return BROKEN;
    } finally {
      silence.stop();
    }
  }

  /** Part of the time left, so that a connection silent from its start leaves time for others. */
  private firstByteTimeoutMs(): number {
    const { firstByteTimeoutMs, silenceTimeoutMs } = this.options;
    if (firstByteTimeoutMs !== undefined) return firstByteTimeoutMs;
    const leftMs = this.beginning.deadlineAtMs - Date.now();
    const shareMs = leftMs * FIRST_BYTE_FRACTION;
    const leastMs = silenceTimeoutMs ?? DEFAULT_SILENCE_TIMEOUT_MS;
    return Math.min(MAX_FIRST_BYTE_TIMEOUT_MS, Math.max(leastMs, shareMs));
  }

  private async *readAnswer(
    response: Dispatcher.ResponseData,
    silence: SilenceTimer,
  ): AsyncGenerator<string, EndOfConnection, undefined> {
    this.ring.recordSuccess();
    const timeoutMs =
      this.options.silenceTimeoutMs ?? DEFAULT_SILENCE_TIMEOUT_MS;
    const onByte = () => {
      silence.restart(timeoutMs);
    };
    onByte();
    for await (const event of readEvents(response.body, onByte)) {
      const end = this.endOf(event);
      if (end !== undefined) return end;
      silence.pause();
      yield* this.takeText(event);
      onByte();
      if (this.finished) return BROKEN;
    }
    return BROKEN;
  }

  private open(signal: AbortSignal): Promise<Dispatcher.ResponseData> {
    const { chat, deadlineAtMs, requestId } = this.beginning;
    const headers: Record<string, string> = {
      authorization: `Bearer ${this.options.token}`,
      'x-request-id': requestId,
      'skylarkreach-deadline': new Date(deadlineAtMs).toISOString(),
    };
    if (this.lastEventId !== undefined) {
      headers['last-event-id'] = this.lastEventId;
    }
    const common = { dispatcher: this.agent, signal };
    if (this.mustResend && chat !== undefined) {
      if (chat.kind !== undefined) headers['skylarkreach-kind'] = chat.kind;
      return request(`${this.ring.current}/v1/chat/completions`, {
        ...common,
        method: 'POST',
        headers: { ...headers, 'content-type': 'application/json' },
        body: this.chatBody(chat),
      });
    }
    const path = `/v1/requests/${encodeURIComponent(requestId)}/events`;
    const url = this.movedTo ?? `${this.ring.current}${path}`;
    return request(url, { ...common, method: 'GET', headers });
  }

  private chatBody(chat: ChatRequest): string {
    const hasText = this.lastEventId !== undefined;
    return JSON.stringify({
      messages: chat.messages,
      stream: true,
      ...(chat.maxTokens === undefined ? {} : { max_tokens: chat.maxTokens }),
      ...(hasText ? { received_text: this.text } : {}),
    });
  }

  private endOf({ data, event }: ServerEvent): EndOfConnection | undefined {
    if (event === 'moved') {
      const { url } = JSON.parse(data) as { url: string };
      return { kind: ConnectionEnd.Moved, url };
    }
    if (event !== 'error') return undefined;
    const problem = parseProblem(data);
    return problem === undefined
      ? BROKEN
      : { kind: ConnectionEnd.Problem, problem };
  }

  private *takeText({
    data,
    id,
  }: ServerEvent): Generator<string, void, undefined> {
    if (data === DONE) {
      this.finished = true;
      return;
    }
    const text = textOf(data);
    this.lastEventId = id ?? this.lastEventId;
    this.text += text;
    if (text !== '') yield text;
  }

  /** Chooses where and how to go on. Throws where the request has failed for good. */
  private async prepareNext(end: EndOfConnection): Promise<void> {
    const { chat, deadlineAtMs, requestId } = this.beginning;
    if (Date.now() >= deadlineAtMs) throw new DeadlineError(requestId);
    if (end.kind === ConnectionEnd.Moved) {
      this.movedTo = end.url;
      this.mustResend = false;
      return;
    }
    this.movedTo = undefined;
    this.mustResend = chat !== undefined && this.lastEventId === undefined;
    if (end.kind === ConnectionEnd.Broken) {
      await this.waitMs(this.ring.nextAfterFailure());
      return;
    }
    await this.prepareAfterProblem(end.problem);
  }

  private async prepareAfterProblem(problem: Problem): Promise<void> {
    const { chat } = this.beginning;
    const isUnknownHere =
      problem.type.endsWith(STREAM_LOST) || problem.type.endsWith(NOT_FOUND);
    if (isUnknownHere && chat !== undefined) {
      this.mustResend = true;
      await this.waitMs(this.ring.nextAfterFailure());
      return;
    }
    if (problem.retryAt === undefined) throw new ProblemError(problem);
    const failureDelayMs = this.ring.nextAfterFailure();
    // Another daemon may take the request at once; only a full round waits.
    const retryDelayMs = Date.parse(problem.retryAt) - Date.now();
    await this.waitMs(failureDelayMs === 0 ? 0 : retryDelayMs);
  }

  private async waitMs(delayMs: number): Promise<void> {
    const { deadlineAtMs, requestId } = this.beginning;
    const remainingMs = deadlineAtMs - Date.now();
    if (remainingMs <= delayMs) throw new DeadlineError(requestId);
    if (delayMs > 0) await delay(delayMs);
  }
}

async function endOfRefusal(
  response: Dispatcher.ResponseData,
): Promise<EndOfConnection> {
  const { location } = response.headers;
  const text = await response.body.text();
  if (response.statusCode === 303 && typeof location === 'string') {
    return { kind: ConnectionEnd.Moved, url: location };
  }
  const problem = parseProblem(text);
  return problem === undefined
    ? BROKEN
    : { kind: ConnectionEnd.Problem, problem };
}

/** Text of one chunk in the OpenAI form. */
function textOf(data: string): string {
  const chunk = JSON.parse(data) as {
    readonly choices?: readonly {
      readonly delta?: { readonly content?: string };
    }[];
  };
  return chunk.choices?.[0]?.delta?.content ?? '';
}
