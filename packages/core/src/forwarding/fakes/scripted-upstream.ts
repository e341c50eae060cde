import { AnswerLostError, NotSentError } from '../../ports/index.js';
import type { AnswerTraits } from '../index.js';
import type { EndpointAnswer, EndpointCall, Upstream } from '../index.js';
import { answerTraits } from './samples.js';

/** What the fake does with one call. */
export interface ScriptedAnswer {
  readonly status?: number;
  readonly traits?: Partial<AnswerTraits>;
  readonly chunks?: readonly string[];
  /** The body breaks off after the chunks. */
  readonly breaks?: boolean;
  /** The body stays silent after the chunks until the call is aborted. */
  readonly hangs?: boolean;
  /** No byte is sent. */
  readonly notSent?: boolean;
  /** The endpoint runs the request and no answer comes. */
  readonly lost?: boolean;
}

/** Endpoints that answer by script, one entry a call; the last entry serves all further calls. */
export class ScriptedUpstream implements Upstream {
  readonly calls: EndpointCall[] = [];
  /** Calls that were aborted before their answer's end. */
  aborted = 0;

  constructor(private readonly script: readonly ScriptedAnswer[]) {}

  async send(call: EndpointCall, signal: AbortSignal): Promise<EndpointAnswer> {
    const index = Math.min(this.calls.length, this.script.length - 1);
    const step = this.script[index] ?? {};
    this.calls.push(call);
    if (step.notSent === true) throw new NotSentError('refused');
    if (step.lost === true) throw new AnswerLostError('lost');
    if (step.hangs === true && step.chunks === undefined) {
      await this.untilAborted(signal);
    }
    const requestId = requestIdOf(call);
    return {
      status: step.status ?? 200,
      headers: ['Request-Id', requestId, 'Endpoint', call.endpoint.id],
      traits: answerTraits(requestId, step.traits),
      isFramed: true,
      body: this.body(step, signal),
    };
  }

  private async *body(
    step: ScriptedAnswer,
    signal: AbortSignal,
  ): AsyncGenerator<Uint8Array> {
    for (const chunk of step.chunks ?? ['answer']) yield Buffer.from(chunk);
    if (step.hangs === true) await this.untilAborted(signal);
    if (step.breaks === true) throw new Error('cut off');
  }

  private untilAborted(signal: AbortSignal): Promise<never> {
    return new Promise((_, reject) => {
      signal.addEventListener('abort', () => {
        this.aborted += 1;
        reject(new Error('aborted'));
      });
    });
  }
}

function requestIdOf({ headers }: EndpointCall): string {
  const index = headers.findIndex(each => each === 'Request-Id');
  return headers[index + 1] ?? '';
}
