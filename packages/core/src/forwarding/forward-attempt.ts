import { cancel, NotSentError } from '../ports/index.js';
import type { AttemptOutcome } from './attempt-outcome.js';
import {
  AttemptEndKind,
  CrashEvidence,
  effectOfEnd,
  endedAs,
  failed,
  verdictOfResult,
} from './attempt-outcome.js';
import { BodyBuffer } from './body-buffer.js';
import { discardBody } from './discard-body.js';
import type {
  EndpointStatements,
  ResponseMetadata,
} from './forward-request.js';
import type { AttemptObservation } from './forwarder.js';
import type { IdleTimerDependencies } from './idle-timer.js';
import type { PoolReservation } from './pool-reservation.js';
import type { ResponseMemory, ResponseShare } from './response-memory.js';
import type { SilenceOptions } from './silence-detector.js';
import { SilenceDetector } from './silence-detector.js';
import type { StreamConsumer } from './stream-consumer.js';
import { StreamEnd } from './stream-consumer.js';
import type {
  EndpointRequest,
  EndpointResponse,
  Upstream,
} from './upstream.js';

export interface AttemptDependencies extends IdleTimerDependencies {
  readonly upstream: Pick<Upstream, 'send' | 'acceptsConnections'>;
  readonly responseMemory: ResponseMemory;
}

export interface AttemptOptions extends SilenceOptions {
  readonly requestId: string;
  /** Consumes the body if it is an event stream. */
  readonly stream: StreamConsumer | undefined;
  readonly observation: AttemptObservation;
  /** Aborted once the request has ended. */
  readonly signal: AbortSignal;
}

/** Statuses that suggest that the request was not executed; without the endpoint's explicit statement they prove nothing. */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([
  408, 421, 429, 503,
]);
/** Lowest status that does not count as a success. */
const MIN_REDIRECT_STATUS = 300;
const MIN_ERROR_STATUS = 400;
/** Maximum size of a response that is buffered before it is forwarded. */
const MAX_BUFFERED_BYTES = 4_194_304; // the largest body of the users

/** Time from the first event of a response within which a crash may be due to the request. */
const MAX_CRASH_DELAY_MS = 300; // a crash that is due to the request follows within a few steps of the engine
/** Events of a stream that are forwarded at once, and the interval at which further ones are; each costs processor time. */
const EVENT_BURST = 2_048;
const MIN_EVENT_INTERVAL_MS = 1;

/** Sends a request to one endpoint and reads its response. */
export class ForwardAttempt {
  /** Rate limit that the endpoint named in its response. */
  limitPerSecond: number | undefined;
  private readonly upstreamAbort = new AbortController();
  private firstEventAtMs: number | undefined;
  private readonly silence: SilenceDetector;
  private readonly memory: ResponseShare;
  private isEvicted = false;

  constructor(
    private readonly deps: AttemptDependencies,
    private readonly reservation: PoolReservation,
    private readonly options: AttemptOptions,
  ) {
    this.silence = new SilenceDetector(deps, options, {
      onSilent: () => {
        reservation.recordSilence(deps.clock.nowMs());
      },
      onAbandoned: () => {
        cancel(this.upstreamAbort);
      },
    });
    this.memory = deps.responseMemory.open(() => {
      this.isEvicted = true;
      cancel(this.upstreamAbort);
    });
    this.upstreamAbort.signal.addEventListener('abort', () => {
      // The memory of a complete response is that of the request.
      if (!this.memory.isComplete) this.memory.close();
    });
  }

  /** Takes the endpoint for silent before its timeout, if another attempt can take over. */
  recordUnreachable(): void {
    this.silence.expire();
  }

  async run(call: EndpointRequest): Promise<AttemptOutcome> {
    const { signal } = this.options;
    const { lifetime } = this.reservation;
    const onRequestEnd = () => {
      cancel(this.upstreamAbort);
    };
    signal.addEventListener('abort', onRequestEnd, { once: true });
    lifetime?.addEventListener('abort', onRequestEnd, { once: true });
    this.silence.start();
    let result: AttemptOutcome;
    try {
      signal.throwIfAborted();
      const response = await this.send(call);
      result = await this.readResponse(response);
    } catch (error) {
      result = this.resultOfError(error);
    } finally {
      signal.removeEventListener('abort', onRequestEnd);
      lifetime?.removeEventListener('abort', onRequestEnd);
      this.silence.stop();
      // Closes the connection unless the response was read to its end.
      cancel(this.upstreamAbort);
    }
    this.reservation.release(verdictOfResult(result), this.deps.clock.nowMs());
    return result;
  }

  /** Sends the request. Rejects also once the request has ended and a response that had arrived by then was read: a client that waits for a connection notices the end only once it has one. */
  private async send(call: EndpointRequest): Promise<EndpointResponse> {
    const { nextPoll, upstream } = this.deps;
    const { signal } = this.options;
    let end: (error: Error) => void = () => undefined;
    const ended = new Promise<never>((_, reject) => {
      end = reject;
    });
    const onAbort = () => {
      void nextPoll().then(() => {
        end(new Error('The request has ended.'));
      });
    };
    signal.addEventListener('abort', onAbort, { once: true });
    try {
      return await Promise.race([
        upstream.send(call, this.upstreamAbort.signal),
        ended,
      ]);
    } finally {
      signal.removeEventListener('abort', onAbort);
    }
  }

  private async readResponse(
    response: EndpointResponse,
  ): Promise<AttemptOutcome> {
    const { metadata } = response;
    this.limitPerSecond = metadata.limitPerSecond;
    const nowMs = this.deps.clock.nowMs();
    if (metadata.load !== undefined)
      this.reservation.recordLoad(metadata.load, nowMs);
    const fault = this.findFault(response, metadata);
    this.recordStatements(metadata, fault);
    this.recordWithdrawal(metadata);
    if (fault !== undefined) {
      // A refusal that is read to its end leaves its connection reusable.
      if (fault.kind !== AttemptEndKind.Failed) {
        await discardBody(this.deps.clock, response.body);
      }
      return fault;
    }
    const { stream } = this.options;
    const isStream = stream !== undefined && metadata.isEventStream;
    if (isStream && response.status === 200)
      return this.readStream(response, stream);
    return stream?.hasStarted === true
      ? failed(`status ${response.status} in place of the rest of the stream`)
      : this.readBuffered(response);
  }

  /** Records what the endpoint says of itself, if the response is one of the endpoint to this request. */
  private recordStatements(
    statements: EndpointStatements,
    fault: AttemptOutcome | undefined,
  ): void {
    const isRejection = fault?.kind === AttemptEndKind.NotRun;
    if (fault !== undefined && !isRejection) return;
    this.reservation.recordStatements(statements, isRejection);
  }

  /** Records that the endpoint wants no further requests, or few of them, now or at all, if the response is its own to this request. */
  private recordWithdrawal(metadata: ResponseMetadata): void {
    const { coldForMs, isLeaving, isMisdirected, pauseMs, requestId } =
      metadata;
    if (requestId !== this.options.requestId || isMisdirected) return;
    if (isLeaving) this.reservation.recordLeaving();
    if (pauseMs !== undefined) this.reservation.recordPause(pauseMs);
    if (coldForMs !== undefined) this.reservation.recordCold(coldForMs);
  }

  /** Returns the result of an attempt whose response must not be forwarded; undefined if the response is valid. */
  private findFault(
    { status }: EndpointResponse,
    metadata: ResponseMetadata,
  ): AttemptOutcome | undefined {
    // A refusal of an earlier request may arrive once more on a kept connection.
    if (metadata.requestId !== this.options.requestId) {
      return failed('the answer belongs to another request');
    }
    if (metadata.isMisdirected) return endedAs(AttemptEndKind.Misdirected);
    if (metadata.isNotRun) return endedAs(AttemptEndKind.NotRun);
    if (metadata.isEncoded) return failed('the answer is encoded');
    if (!metadata.isSigned && status < MIN_REDIRECT_STATUS)
      return failed('the answer is unsigned');
    if (NOT_EXECUTED_STATUSES.has(status)) {
      return failed(
        `status ${status} without a statement that the request was not executed`,
      );
    }
    return undefined;
  }

  private async readBuffered(
    response: EndpointResponse,
  ): Promise<AttemptOutcome> {
    const body = await this.readBody(response.body);
    if (body === undefined) return failed('the answer is too large');
    const { headers, isFramed, status } = response;
    // An endpoint that crashes may close its connection in order.
    if (body.length === 0 && !isFramed && status < MIN_REDIRECT_STATUS)
      return this.lost('the answer ended with its connection before its body');
    if (!(await this.isEndConfirmed(response)))
      return this.lost('the answer ended with its connection and its endpoint');
    const nowMs = this.deps.clock.nowMs();
    this.reservation.recordFirstEvent(nowMs);
    this.options.observation.recordEvents(1, nowMs);
    const { memory } = this;
    memory.isComplete = true;
    return {
      kind: AttemptEndKind.Answered,
      crashEvidence: effectOfEnd(isFramed && status < MIN_ERROR_STATUS),
      response: { status, headers, body, memory },
    };
  }

  /** Returns a whole body; undefined if it is too large. */
  private async readBody(
    chunks: EndpointResponse['body'],
  ): Promise<Uint8Array | undefined> {
    const body = new BodyBuffer(MAX_BUFFERED_BYTES);
    try {
      for await (const chunk of chunks) {
        this.silence.recordProgress();
        if (!body.fits(chunk)) return undefined;
        const memory = this.hold(body.capacityWith(chunk));
        if (memory !== undefined) await memory;
        body.append(chunk);
      }
      return body.take();
    } finally {
      body.discard();
    }
  }

  private async readStream(
    response: EndpointResponse,
    stream: StreamConsumer,
  ): Promise<AttemptOutcome> {
    stream.begin(response);
    let pacedAtMs = -Infinity;
    for await (const chunk of response.body) {
      const nowMs = this.deps.clock.nowMs();
      const newEvents = stream.add(chunk);
      const memory = this.hold(stream.bufferedBytes);
      if (memory !== undefined) await memory;
      if (newEvents === 0) {
        this.silence.recordFruitless();
        continue;
      }
      if (this.firstEventAtMs === undefined)
        this.reservation.recordFirstEvent(nowMs);
      this.firstEventAtMs ??= nowMs;
      this.options.observation.recordEvents(newEvents, nowMs);
      this.reservation.recordEvents?.(newEvents);
      const flushed = stream.flush();
      if (flushed !== undefined) {
        this.silence.pause();
        await flushed;
      }
      pacedAtMs =
        Math.max(pacedAtMs, nowMs - EVENT_BURST * MIN_EVENT_INTERVAL_MS) +
        newEvents * MIN_EVENT_INTERVAL_MS;
      if (pacedAtMs > nowMs)
        await this.deps.clock.waitUntil(pacedAtMs, this.upstreamAbort.signal);
      this.silence.recordProgress();
    }
    const end = stream.finish(await this.isEndConfirmed(response));
    if (end !== StreamEnd.Complete) return this.lost(end);
    return {
      kind: AttemptEndKind.Answered,
      crashEvidence: effectOfEnd(response.isFramed),
    };
  }

  /** Holds the memory that the response needs. Returns a promise only if it has to wait: each one costs processor time for each event. */
  private hold(bytes: number): Promise<void> | undefined {
    return this.memory.tryHold(bytes) ? undefined : this.waitToHold(bytes);
  }

  /** Waits for the memory that the response needs; the endpoint is not silent meanwhile. */
  private async waitToHold(bytes: number): Promise<void> {
    this.silence.pause();
    await this.memory.wait(bytes);
    this.upstreamAbort.signal.throwIfAborted();
    this.silence.recordProgress();
  }

  /**
   * Whether the end of a body was that of the response: its framing says so, or its
   * endpoint is still there, so that it did not close the connection by crashing.
   */
  private isEndConfirmed({ isFramed }: EndpointResponse): Promise<boolean> {
    if (isFramed) return Promise.resolve(true);
    const { endpoint } = this.reservation;
    return this.deps.upstream.acceptsConnections(endpoint);
  }

  private resultOfError(error: unknown): AttemptOutcome {
    const { isSilent, noticedLateMs } = this.silence;
    if (this.options.signal.aborted)
      return { ...endedAs(AttemptEndKind.Cancelled), wasSilent: isSilent };
    if (noticedLateMs !== undefined)
      return { ...endedAs(AttemptEndKind.Silent), noticedLateMs };
    const hasSentEvents = this.firstEventAtMs !== undefined;
    if (this.reservation.lifetime?.aborted === true)
      return { ...failed('the endpoint has started again'), hasSentEvents };
    if (this.isEvicted)
      return {
        ...failed('the answer was given up for its memory'),
        hasSentEvents,
      };
    const reason = String(error);
    return error instanceof NotSentError
      ? { ...endedAs(AttemptEndKind.NotSent), reason }
      : this.lost(reason);
  }

  /** Returns the result of an attempt whose response was lost. */
  private lost(reason: string): AttemptOutcome {
    const nowMs = this.deps.clock.nowMs();
    const writtenForMs = nowMs - (this.firstEventAtMs ?? nowMs);
    const isEarly = writtenForMs <= MAX_CRASH_DELAY_MS;
    return {
      ...failed(reason),
      hasSentEvents: this.firstEventAtMs !== undefined,
      crashEvidence: isEarly
        ? CrashEvidence.MayHaveCrashed
        : CrashEvidence.Unknown,
    };
  }
}
