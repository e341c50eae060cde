import type { Clock } from '../../ports/index.js';
import { AnswerLostError, NotSentError } from '../../ports/index.js';
import type {
  EndpointRecord,
  EndpointRequest,
  EndpointResponse,
  ResponseMetadata,
  Upstream,
} from '../index.js';
import { sampleResponseMetadata } from './samples.js';

/** Scripted behaviour for one call. */
export interface ScriptedResponse {
  readonly status?: number;
  readonly metadata?: Partial<ResponseMetadata>;
  readonly chunks?: readonly string[];
  /** The body has neither a length nor chunks and ends with its connection. */
  readonly isCloseDelimited?: boolean;
  /** The body fails after the chunks. */
  readonly isTruncated?: boolean;
  /** The body, or the whole response if there are no chunks, stalls until the call is aborted. */
  readonly isHanging?: boolean;
  /** The endpoint is silent after the chunks, or before the response if there are none, and then sends `lateChunks`. */
  readonly silentForMs?: number;
  readonly lateChunks?: readonly string[];
  /** Time that it takes to connect to the endpoint. */
  readonly connectMs?: number;
  /** The call fails before any byte is sent. */
  readonly isNotSent?: boolean;
  /** The call fails after the endpoint may have executed the request. */
  readonly isLost?: boolean;
}

/** Fake upstream that follows a script, one entry per call; the last entry is used for all further calls. */
export class ScriptedUpstream implements Upstream {
  readonly calls: EndpointRequest[] = [];
  /** Endpoints that refuse connections. */
  readonly crashedIds = new Set<string>();
  /** Endpoints that accept connections and reset them at once. */
  readonly resettingIds = new Set<string>();
  /** Endpoints to which no connection can be established. */
  readonly unreachableIds = new Set<string>();
  /** Number of the call with whose response its endpoint crashes. */
  crashesWithCall: number | undefined;
  /** Number of calls aborted before the end of their response. */
  abortedCalls = 0;

  constructor(
    private readonly script: readonly ScriptedResponse[],
    private readonly clock: Clock,
  ) {}

  async send(
    call: EndpointRequest,
    signal: AbortSignal,
  ): Promise<EndpointResponse> {
    const index = Math.min(this.calls.length, this.script.length - 1);
    const step = this.script[index] ?? {};
    this.calls.push(call);
    if (this.calls.length === this.crashesWithCall)
      this.crashedIds.add(call.endpoint.id);
    const isUnreachable = this.unreachableIds.has(call.endpoint.id);
    if (step.isNotSent === true || isUnreachable)
      throw new NotSentError('refused');
    if (step.connectMs !== undefined)
      await this.clock.waitUntil(this.clock.nowMs() + step.connectMs, signal);
    if (call.mayWrite?.() === false) throw new NotSentError('withheld');
    if (step.isLost === true || this.resettingIds.has(call.endpoint.id))
      throw new AnswerLostError('lost');
    if (step.isHanging === true && step.chunks === undefined) {
      await this.waitForAbort(signal);
    }
    if (step.chunks === undefined) await this.waitSilently(step, signal);
    const requestId = requestIdOf(call);
    return {
      status: step.status ?? 200,
      headers: ['Request-Id', requestId, 'Endpoint', call.endpoint.id],
      metadata: sampleResponseMetadata(requestId, step.metadata),
      isFramed: step.isCloseDelimited !== true,
      body: this.streamBody(step, signal),
    };
  }

  refusesConnections({ id }: EndpointRecord): Promise<boolean> {
    return Promise.resolve(this.crashedIds.has(id));
  }

  dropsConnections({ id }: EndpointRecord): Promise<boolean> {
    const isGone = this.crashedIds.has(id) || this.resettingIds.has(id);
    return Promise.resolve(isGone);
  }

  acceptsConnections({ id }: EndpointRecord): Promise<boolean> {
    const isGone = this.crashedIds.has(id) || this.unreachableIds.has(id);
    return Promise.resolve(!isGone);
  }

  private async *streamBody(
    step: ScriptedResponse,
    signal: AbortSignal,
  ): AsyncGenerator<Uint8Array> {
    for (const chunk of step.chunks ?? ['answer']) {
      signal.throwIfAborted();
      yield Buffer.from(chunk);
    }
    if (step.isHanging === true) await this.waitForAbort(signal);
    if (step.chunks !== undefined) await this.waitSilently(step, signal);
    for (const chunk of step.lateChunks ?? []) yield Buffer.from(chunk);
    if (step.isTruncated === true) throw new Error('cut off');
  }

  private async waitSilently(
    { silentForMs }: ScriptedResponse,
    signal: AbortSignal,
  ): Promise<void> {
    if (silentForMs === undefined) return;
    const endsAtMs = this.clock.nowMs() + silentForMs;
    try {
      await this.clock.waitUntil(endsAtMs, signal);
    } catch (error) {
      this.abortedCalls += 1;
      throw error;
    }
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

function requestIdOf({ headers }: EndpointRequest): string {
  const index = headers.findIndex(each => each === 'Request-Id');
  return headers[index + 1] ?? '';
}
