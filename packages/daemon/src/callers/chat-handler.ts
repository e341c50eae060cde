import { once } from 'node:events';
import type { ServerResponse } from 'node:http';

import type { ModelCall, ModelPipeline } from '@skylarkreach/core/pipeline';
import {
  RequestError,
  RequestErrorKind,
  RequestOutcome,
} from '@skylarkreach/core/pipeline';
import type { Clock, EngineEvent } from '@skylarkreach/core/platform';
import { EngineEventKind } from '@skylarkreach/core/platform';

import type { CompletionHeader } from './chat-response.js';
import { chunkBody, completionBody, finishBody } from './chat-response.js';
import { toProblem } from './problem.js';

const MODEL_LABEL = 'skylarkreach';

/** Answers chat completions as JSON or as server-sent events. */
export class ChatHandler {
  constructor(
    private readonly pipeline: ModelPipeline,
    private readonly clock: Clock,
  ) {}

  /** Sends the whole answer at once. Throws `RequestError` before anything is written. */
  async sendJson(
    call: ModelCall,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<void> {
    let content = '';
    for await (const event of this.pipeline.run(call, signal)) {
      if (event.kind === EngineEventKind.Chunk) {
        content += event.text;
        continue;
      }
      const body = completionBody(this.header(call), content, event);
      response.writeHead(200, {
        'content-type': 'application/json',
        'x-request-id': call.requestId,
      });
      response.end(body);
    }
  }

  /** Streams the answer. Throws `RequestError` only before the first event. */
  async sendStream(
    call: ModelCall,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<void> {
    const header = this.header(call);
    try {
      for await (const event of this.pipeline.run(call, signal)) {
        if (!response.headersSent) writeStreamHead(response, call.requestId);
        await write(response, eventText(header, event), signal);
      }
      response.end('data: [DONE]\n\n');
    } catch (error) {
      if (!response.headersSent) throw error;
      if (!signal.aborted) endWithError(response, error, call.requestId);
    }
  }

  private header(call: ModelCall): CompletionHeader {
    return {
      id: call.requestId,
      model: MODEL_LABEL,
      createdAtMs: this.clock.nowMs(),
    };
  }
}

function writeStreamHead(response: ServerResponse, requestId: string): void {
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
    'x-request-id': requestId,
  });
}

function eventText(header: CompletionHeader, event: EngineEvent): string {
  const body =
    event.kind === EngineEventKind.Chunk
      ? chunkBody(header, event)
      : finishBody(header, event);
  return `data: ${body}\n\n`;
}

/** Writes with back-pressure, so that a slow reader bounds what is held. */
async function write(
  response: ServerResponse,
  text: string,
  signal: AbortSignal,
): Promise<void> {
  if (!response.write(text)) await once(response, 'drain', { signal });
}

function endWithError(
  response: ServerResponse,
  error: unknown,
  requestId: string,
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
  const body = JSON.stringify(toProblem(requestError, requestId));
  response.end(`event: error\ndata: ${body}\n\n`);
}
