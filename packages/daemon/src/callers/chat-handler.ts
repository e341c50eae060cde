import { once } from 'node:events';
import type { ServerResponse } from 'node:http';

import type { AnswerEvent } from '@skylarkreach/core/pipeline';
import {
  RequestError,
  RequestErrorKind,
  RequestOutcome,
  RunEndReason,
} from '@skylarkreach/core/pipeline';
import type { Clock, EngineEvent } from '@skylarkreach/core/ports';
import { EngineEventKind } from '@skylarkreach/core/ports';
import type {
  RequestIdentity,
  ResumeTokenSigner,
} from '@skylarkreach/core/streams';

import type { OpenResponse, OpenResponses } from '../hand-off/index.js';
import type { CompletionHeader } from './chat-response.js';
import { chunkBody, completionBody, finishBody } from './chat-response.js';
import { Heartbeat } from './heartbeat.js';
import { stopping, toProblem } from './problem.js';

const MODEL_LABEL = 'skylarkreach';

/** An answer to send, and the request that it belongs to. */
export interface AnswerSource {
  readonly name: RequestIdentity;
  readonly open: (signal: AbortSignal) => AsyncIterable<AnswerEvent>;
}

/** Sends answers as JSON or as server-sent events whose ids are resume tokens. */
export class ChatHandler {
  constructor(
    private readonly responses: OpenResponses,
    private readonly tokens: ResumeTokenSigner,
    private readonly clock: Clock,
  ) {}

  /** Sends the whole answer at once. Throws `RequestError` before anything is written. */
  sendJson(source: AnswerSource, response: ServerResponse): Promise<void> {
    return this.track(source, response, RunEndReason.Cancelled, async open => {
      const header = this.header(source);
      let content = '';
      for await (const { event } of source.open(open.signal)) {
        if (event.kind === EngineEventKind.Chunk) {
          content += event.text;
          continue;
        }
        response.writeHead(200, {
          'content-type': 'application/json',
          'x-request-id': source.name.requestId,
        });
        response.end(completionBody(header, content, event));
      }
    });
  }

  /** Streams the answer. Throws `RequestError` only before the first event. */
  sendStream(source: AnswerSource, response: ServerResponse): Promise<void> {
    return this.track(source, response, RunEndReason.Detached, async open => {
      const heartbeat = new Heartbeat(this.clock, text => {
        if (response.headersSent) response.write(text);
      });
      try {
        await this.writeEvents(source, response, open.signal, heartbeat);
      } finally {
        heartbeat.stop();
      }
    });
  }

  private async writeEvents(
    source: AnswerSource,
    response: ServerResponse,
    signal: AbortSignal,
    heartbeat: Heartbeat,
  ): Promise<void> {
    const header = this.header(source);
    for await (const part of source.open(signal)) {
      if (!response.headersSent) writeStreamHead(response, source.name);
      const id = this.tokenAfter(part, source);
      await write(response, eventText(header, part.event, id), signal);
      heartbeat.recordWrite();
    }
    if (!response.headersSent) writeStreamHead(response, source.name);
    response.end('data: [DONE]\n\n');
  }

  /** Runs a send; where it is cut by a hand-off, points the caller elsewhere. */
  private async track(
    source: AnswerSource,
    response: ServerResponse,
    endOnClose: RunEndReason,
    send: (open: OpenResponse) => Promise<void>,
  ): Promise<void> {
    const { name } = source;
    await this.responses.track(name, response, endOnClose, async open => {
      try {
        await send(open);
      } catch (error) {
        if (open.isHandedOff)
          await this.pointElsewhere(open, response, endOnClose);
        else if (!response.headersSent) throw error;
        else if (!open.signal.aborted) endWithError(response, error, name);
      }
    });
  }

  private async pointElsewhere(
    open: OpenResponse,
    response: ServerResponse,
    endOnClose: RunEndReason,
  ): Promise<void> {
    open.stop();
    const { callerUrl, hasRecord } = await open.successor;
    if (response.destroyed) return;
    // Without a record nothing was dispatched, unless a stream was resumed by its token.
    const isBegun = hasRecord || response.headersSent;
    if (callerUrl === undefined || !isBegun) {
      const outcome = isBegun ? RequestOutcome.Unknown : RequestOutcome.NotRun;
      const error = stopping(this.clock, outcome);
      if (!response.headersSent) throw error;
      endWithError(response, error, open.name);
      return;
    }
    const { requestId } = open.name;
    const path = `/v1/requests/${encodeURIComponent(requestId)}`;
    if (response.headersSent) {
      const data = JSON.stringify({ url: `${callerUrl}${path}/events` });
      response.end(`event: moved\ndata: ${data}\n\n`);
      return;
    }
    const suffix = endOnClose === RunEndReason.Detached ? '/events' : '';
    const location = `${callerUrl}${path}${suffix}`;
    response.writeHead(303, { location, 'x-request-id': requestId });
    response.end();
  }

  private tokenAfter(part: AnswerEvent, source: AnswerSource): string {
    return this.tokens.sign({
      ...source.name,
      address: part.address,
      streamId: part.streamId,
      tokenOffset: part.tokenOffset,
      characters: part.characters,
      expiresAtMs: part.deadlineAtMs,
    });
  }

  private header(source: AnswerSource): CompletionHeader {
    return {
      id: source.name.requestId,
      model: MODEL_LABEL,
      createdAtMs: this.clock.nowMs(),
    };
  }
}

function writeStreamHead(
  response: ServerResponse,
  name: RequestIdentity,
): void {
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
    'x-request-id': name.requestId,
  });
}

function eventText(
  header: CompletionHeader,
  event: EngineEvent,
  id: string,
): string {
  const body =
    event.kind === EngineEventKind.Chunk
      ? chunkBody(header, event)
      : finishBody(header, event);
  return `id: ${id}\ndata: ${body}\n\n`;
}

/** Writes with back-pressure, so that a slow reader bounds what is held. */
async function write(
  response: ServerResponse,
  text: string,
  signal: AbortSignal,
): Promise<void> {
  signal.throwIfAborted();
  if (!response.write(text)) await once(response, 'drain', { signal });
}

function endWithError(
  response: ServerResponse,
  error: unknown,
  name: RequestIdentity,
): void {
  const requestError =
    error instanceof RequestError
      ? error
      : new RequestError({
          kind: RequestErrorKind.EndpointFailed,
          message: 'The answer could not be completed.',
          remedy: 'Send the request again.',
          outcome: RequestOutcome.Unknown,
        });
  const body = JSON.stringify(toProblem(requestError, name.requestId));
  response.end(`event: error\ndata: ${body}\n\n`);
}
