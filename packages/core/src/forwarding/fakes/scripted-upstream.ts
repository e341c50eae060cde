import { AnswerLostError, NotSentError } from '../../ports/index.js';
import type { AnswerTraits } from '../index.js';
import type { EndpointAnswer, EndpointCall, Upstream } from '../index.js';
import { sampleResponseTraits } from './samples.js';

/** What the fake does with one call. */
export interface ScriptedResponse {
  readonly status?: number;
  readonly traits?: Partial<AnswerTraits>;
  readonly chunks?: readonly string[];
  /** The body breaks off after the chunks. */
  readonly isTruncated?: boolean;
  /** The body stays silent after the chunks until the call is aborted. */
  readonly isHanging?: boolean;
  /** No byte is sent. */
  readonly isNotSent?: boolean;
  /** The endpoint runs the request and no answer comes. */
  readonly isLost?: boolean;
}

/** Endpoints that answer by script, one entry a call; the last entry serves all further calls. */
export class ScriptedUpstream implements Upstream {
  readonly calls: EndpointCall[] = [];
  /** Calls that were aborted before their answer's end. */
  abortedCalls = 0;

  constructor(private readonly script: readonly ScriptedResponse[]) {}

  async send(call: EndpointCall, signal: AbortSignal): Promise<EndpointAnswer> {
    const index = Math.min(this.calls.length, this.script.length - 1);
    const step = this.script[index] ?? {};
    this.calls.push(call);
    if (step.isNotSent === true) throw new NotSentError('refused');
    if (step.isLost === true) throw new AnswerLostError('lost');
    if (step.isHanging === true && step.chunks === undefined) {
      await this.waitForAbort(signal);
    }
    const requestId = requestIdOf(call);
    return {
      status: step.status ?? 200,
      headers: ['Request-Id', requestId, 'Endpoint', call.endpoint.id],
      traits: sampleResponseTraits(requestId, step.traits),
      isFramed: true,
      body: this.streamBody(step, signal),
    };
  }

  private async *streamBody(
    step: ScriptedResponse,
    signal: AbortSignal,
  ): AsyncGenerator<Uint8Array> {
    for (const chunk of step.chunks ?? ['answer']) yield Buffer.from(chunk);
    if (step.isHanging === true) await this.waitForAbort(signal);
    if (step.isTruncated === true) throw new Error('cut off');
  }

  private waitForAbort(signal: AbortSignal): Promise<never> {
    return new Promise((_, reject) => {
      signal.addEventListener('abort', () => {
        this.abortedCalls += 1;
        reject(new Error('aborted'));
      });
    });
  }
}

function requestIdOf({ headers }: EndpointCall): string {
  const index = headers.findIndex(each => each === 'Request-Id');
  return headers[index + 1] ?? '';
}
