import type { Clock } from '../ports/index.js';
import { NotSentError } from '../ports/index.js';
import type { PoolTicket } from './endpoint-pool.js';
import { AttemptVerdict } from './endpoint-pool.js';
import type { AnswerTraits, RawHeaders } from './forward-request.js';
import { SilenceWatch } from './idle-timer.js';
import type { EndpointAnswer, EndpointCall, Upstream } from './upstream.js';

/** How one attempt ended. */
export enum AttemptEndKind {
  /** The whole answer has gone to the caller, or is held whole. */
  Answered = 'answered',
  /** No byte has reached the endpoint. */
  NotSent = 'notSent',
  /** The endpoint states that it did not run the request. */
  NotRun = 'notRun',
  /** Another endpoint has the address. */
  Misdirected = 'misdirected',
  /** The answer is lost, spoilt or cut off; the request may have run. */
  Failed = 'failed',
  /** Nothing was heard for longer than is worth waiting. */
  Silent = 'silent',
  /** The request itself has ended: its caller left or its time is over. */
  Cancelled = 'cancelled',
}

/** A plain answer that was read whole. */
export interface WholeAnswer {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly body: Uint8Array;
  readonly isFramed: boolean;
}

export interface AttemptEnd {
  readonly kind: AttemptEndKind;
  readonly reason?: string;
  readonly answer?: WholeAnswer;
}

/** Takes a stream's bytes; returns once they have gone on. */
export interface StreamTarget {
  begin(answer: EndpointAnswer): void;
  write(chunk: Uint8Array): Promise<void>;
  /** True where the stream is whole. */
  finish(): boolean;
}

export interface AttemptParts {
  readonly clock: Clock;
  readonly upstream: Upstream;
}

export interface AttemptOptions {
  readonly requestId: string;
  /** Longest wait for the head of the answer, or for a stream's first event. */
  readonly firstLimitMs: number;
  /** Longest pause between two chunks of a body. */
  readonly gapLimitMs: number;
  /** Takes the body where it is a stream of events. */
  readonly stream: StreamTarget | undefined;
  /** Aborted once the request has ended. */
  readonly signal: AbortSignal;
}

/** Statuses that promise that the request has not run; without the endpoint's own statement they prove nothing. */
const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Least status by which an endpoint states that it failed. */
const MIN_FAILURE_STATUS = 500;
/** Largest answer that is held whole before it goes on. */
const MAX_WHOLE_BYTES = 4_194_304; // the users' largest body

/** Body of a refusal that is read for the sake of its connection. */
const MAX_DISCARDED_BYTES = 65_536; // costs less than a new connection

/** Sends a request to one endpoint and follows its answer. */
export class ForwardAttempt {
  private readonly cut = new AbortController();
  private isSilent = false;
  private readonly watch: SilenceWatch;

  constructor(
    private readonly parts: AttemptParts,
    private readonly ticket: PoolTicket,
    private readonly options: AttemptOptions,
  ) {
    this.watch = new SilenceWatch(parts.clock, () => {
      this.isSilent = true;
      this.cut.abort();
    });
  }

  async run(call: EndpointCall): Promise<AttemptEnd> {
    const { signal } = this.options;
    const onEnd = () => {
      this.cut.abort();
    };
    signal.addEventListener('abort', onEnd, { once: true });
    this.watch.heard(this.options.firstLimitMs);
    let end: AttemptEnd;
    try {
      signal.throwIfAborted();
      const answer = await this.parts.upstream.send(call, this.cut.signal);
      end = await this.follow(answer);
    } catch (error) {
      end = this.endOf(error);
    } finally {
      signal.removeEventListener('abort', onEnd);
      this.watch.stop();
      // Drops the connection unless the answer was read to its end.
      this.cut.abort();
    }
    this.ticket.release(verdictOf(end), this.parts.clock.nowMs());
    return end;
  }

  private async follow(answer: EndpointAnswer): Promise<AttemptEnd> {
    const { traits } = answer;
    const nowMs = this.parts.clock.nowMs();
    if (traits.load !== undefined) this.ticket.recordLoad(traits.load, nowMs);
    const fault = this.faultOf(answer, traits);
    if (fault !== undefined) {
      // Read to its end, a refusal leaves its connection of use.
      if (fault.kind !== AttemptEndKind.Failed) await discard(answer.body);
      return fault;
    }
    const { stream } = this.options;
    const isStream = stream !== undefined && traits.isEventStream;
    if (!isStream || answer.status !== 200) return this.readWhole(answer);
    return this.readStream(answer, stream);
  }

  /** The end of an attempt whose answer cannot be the request's own. */
  private faultOf(
    { status }: EndpointAnswer,
    traits: AnswerTraits,
  ): AttemptEnd | undefined {
    if (traits.isMisdirected) return { kind: AttemptEndKind.Misdirected };
    if (traits.isNotRun) return { kind: AttemptEndKind.NotRun };
    if (traits.requestId !== this.options.requestId) {
      return failed('the answer belongs to another request');
    }
    if (traits.isEncoded) return failed('the answer is encoded');
    if (!traits.isSigned && status < 300)
      return failed('the answer is unsigned');
    if (PROMISING_STATUSES.has(status)) {
      return failed(`status ${status} without a statement that nothing ran`);
    }
    return undefined;
  }

  private async readWhole(answer: EndpointAnswer): Promise<AttemptEnd> {
    const chunks: Uint8Array[] = [];
    let bytes = 0;
    for await (const chunk of answer.body) {
      this.watch.heard(this.options.gapLimitMs);
      bytes += chunk.length;
      if (bytes > MAX_WHOLE_BYTES) return failed('the answer is too large');
      chunks.push(chunk);
    }
    this.ticket.recordFirstEvent(this.parts.clock.nowMs());
    const { headers, isFramed, status } = answer;
    return {
      kind: AttemptEndKind.Answered,
      answer: { status, headers, isFramed, body: Buffer.concat(chunks) },
    };
  }

  private async readStream(
    answer: EndpointAnswer,
    stream: StreamTarget,
  ): Promise<AttemptEnd> {
    stream.begin(answer);
    let isFirst = true;
    for await (const chunk of answer.body) {
      this.watch.heard(this.options.gapLimitMs);
      if (isFirst) this.ticket.recordFirstEvent(this.parts.clock.nowMs());
      isFirst = false;
      await stream.write(chunk);
    }
    return stream.finish()
      ? { kind: AttemptEndKind.Answered }
      : failed('the stream ended within an event');
  }

  private endOf(error: unknown): AttemptEnd {
    if (this.options.signal.aborted) return { kind: AttemptEndKind.Cancelled };
    if (this.isSilent) return { kind: AttemptEndKind.Silent };
    const kind =
      error instanceof NotSentError
        ? AttemptEndKind.NotSent
        : AttemptEndKind.Failed;
    return { kind, reason: String(error) };
  }
}

/** Whether a whole answer is the endpoint's own failure. */
export function isEndpointError(answer: WholeAnswer | undefined): boolean {
  return answer !== undefined && answer.status >= MIN_FAILURE_STATUS;
}

async function discard(body: AsyncIterable<Uint8Array>): Promise<void> {
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    if (bytes > MAX_DISCARDED_BYTES) return;
  }
}

function failed(reason: string): AttemptEnd {
  return { kind: AttemptEndKind.Failed, reason };
}

function verdictOf({ kind, answer }: AttemptEnd): AttemptVerdict | undefined {
  switch (kind) {
    case AttemptEndKind.Answered:
      return isEndpointError(answer)
        ? AttemptVerdict.Failed
        : AttemptVerdict.Succeeded;
    case AttemptEndKind.NotSent:
    case AttemptEndKind.NotRun:
    case AttemptEndKind.Failed:
    case AttemptEndKind.Silent:
      return AttemptVerdict.Failed;
    case AttemptEndKind.Misdirected:
    case AttemptEndKind.Cancelled:
      return undefined;
  }
}
