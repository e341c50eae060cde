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
import type { CompletionMetadata } from './chat-response.js';
import { chunkBody, completionBody, finishBody } from './chat-response.js';
import { Heartbeat } from './heartbeat.js';
import { stoppingError, toProblem } from './problem.js';
import { writeToCaller } from './write-to-caller.js';

const MODEL_LABEL = 'skylarkreach';

/** Source of an answer, with the request that it belongs to. */
export interface AnswerSource {
  readonly name: RequestIdentity;
  /** Starts or resumes the answer; aborting the signal ends it. */
  readonly open: (signal: AbortSignal) => AsyncIterable<AnswerEvent>;
}

/** Sends answers as JSON, or as server-sent events with resume tokens as event ids. */
export class ChatHandler {
  constructor(
    private readonly responses: OpenResponses,
    private readonly resumeTokens: ResumeTokenSigner,
    private readonly clock: Clock,
  ) {}

  /** Sends the complete answer as one JSON body. Throws `RequestError` before anything is written. */
  sendJson(source: AnswerSource, response: ServerResponse): Promise<void> {
    return this.runTracked(
      source,
      response,
      RunEndReason.Cancelled,
      async openResponse => {
        const metadata = this.createMetadata(source);
        let content = '';
        for await (const { event } of source.open(openResponse.signal)) {
          if (event.kind === EngineEventKind.Chunk) {
            content += event.text;
            continue;
          }
          response.writeHead(200, {
            'content-type': 'application/json',
            'x-request-id': source.name.requestId,
          });
          response.end(completionBody(metadata, content, event));
        }
      },
    );
  }

  /** Streams the answer. Throws `RequestError` only before the first event. */
  sendStream(source: AnswerSource, response: ServerResponse): Promise<void> {
    return this.runTracked(
      source,
      response,
      RunEndReason.Detached,
      async openResponse => {
        const heartbeat = new Heartbeat(this.clock, text => {
          if (response.headersSent) response.write(text);
        });
        try {
          await this.writeEvents(
            source,
            response,
            openResponse.signal,
            heartbeat,
          );
        } finally {
          heartbeat.stop();
        }
      },
    );
  }

  private async writeEvents(
    source: AnswerSource,
    response: ServerResponse,
    signal: AbortSignal,
    heartbeat: Heartbeat,
  ): Promise<void> {
    const metadata = this.createMetadata(source);
    for await (const part of source.open(signal)) {
      if (!response.headersSent) writeStreamHeaders(response, source.name);
      const id = this.signResumeToken(part, source);
      const text = formatEvent(metadata, part.event, id);
      await writeToCaller(response, text, this.clock, signal);
      heartbeat.recordWrite();
    }
    if (!response.headersSent) writeStreamHeaders(response, source.name);
    response.end('data: [DONE]\n\n');
  }

  /** Runs `send` as an open response; if a hand-off interrupts it, redirects the caller to another daemon. */
  private async runTracked(
    source: AnswerSource,
    response: ServerResponse,
    endOnClose: RunEndReason,
    send: (openResponse: OpenResponse) => Promise<void>,
  ): Promise<void> {
    const { name } = source;
    await this.responses.track(
      name,
      response,
      endOnClose,
      async openResponse => {
        try {
          await send(openResponse);
        } catch (error) {
          if (openResponse.isHandedOff)
            await this.redirectCaller(openResponse, response, endOnClose);
          else if (!response.headersSent) throw error;
          else if (!openResponse.signal.aborted)
            endStreamWithError(response, error, name);
        }
      },
    );
  }

  private async redirectCaller(
    openResponse: OpenResponse,
    response: ServerResponse,
    endOnClose: RunEndReason,
  ): Promise<void> {
    openResponse.markStopped();
    const { callerUrl, hasRecord } = await openResponse.successor;
    if (response.destroyed) return;
    // Without a record nothing was dispatched, except for a stream that was resumed by its token.
    const hasStarted = hasRecord || response.headersSent;
    if (callerUrl === undefined || !hasStarted) {
      const outcome = hasStarted
        ? RequestOutcome.Unknown
        : RequestOutcome.NotRun;
      const error = stoppingError(this.clock, outcome);
      if (!response.headersSent) throw error;
      endStreamWithError(response, error, openResponse.name);
      return;
    }
    const { requestId } = openResponse.name;
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

  private signResumeToken(part: AnswerEvent, source: AnswerSource): string {
    return this.resumeTokens.sign({
      ...source.name,
      address: part.address,
      streamId: part.streamId,
      tokenOffset: part.tokenOffset,
      characters: part.characters,
      expiresAtMs: part.deadlineAtMs,
    });
  }

  private createMetadata(source: AnswerSource): CompletionMetadata {
    return {
      id: source.name.requestId,
      model: MODEL_LABEL,
      createdAtMs: this.clock.nowMs(),
    };
  }
}

function writeStreamHeaders(
  response: ServerResponse,
  name: RequestIdentity,
): void {
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
    'x-request-id': name.requestId,
  });
}

function formatEvent(
  metadata: CompletionMetadata,
  event: EngineEvent,
  id: string,
): string {
  const body =
    event.kind === EngineEventKind.Chunk
      ? chunkBody(metadata, event)
      : finishBody(metadata, event);
  return `id: ${id}\ndata: ${body}\n\n`;
}

/** Writes with back-pressure, so that a slow reader does not make the write buffer grow without limit. */
function endStreamWithError(
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
