import type { Endpoint, EngineEvent } from '../ports/index.js';
import {
  EngineEventKind,
  LogPart,
  PlatformError,
  RefusedError,
} from '../ports/index.js';
import type { Attempt } from '../routing/index.js';
import { AttemptEnd, LeavingSource } from '../routing/index.js';
import type { AnswerAssembler, ModelRequestSpec } from '../streams/index.js';
import { StreamFailure } from '../streams/index.js';
import type { AnswerStart, StreamTarget } from './answer-start.js';
import { cancelStream } from './cancel-stream.js';
import type { ChoiceSituation } from './endpoint-choice.js';
import { EndpointChoice } from './endpoint-choice.js';
import type { PipelineParts } from './pipeline-parts.js';
import { notRun, RequestErrorKind, RequestOutcome } from './request-error.js';
import { deadlinePassed, givenUp } from './run-errors.js';
import type { SurvivalParts } from './survival-parts.js';

const RETRY_DELAY_MS = 1_000;

/** Dispatches of one request without progress before it is given up. */
const MAX_FRUITLESS_DISPATCHES = 8;

/** The attempts of one answer: chooses their endpoints and reports how each ended. */
export class AttemptSeries {
  target: StreamTarget | undefined;
  /** Version that made the text so far; later attempts keep to it. */
  version: string | undefined;
  private work: ModelRequestSpec | undefined;
  private attempt: Attempt | undefined;
  private firstByteAtMs: number | undefined;
  private attemptTokens = 0;
  private cachedTokens: number | undefined;
  private readonly excluded = new Set<string>();
  private dispatches = 0;
  private fruitlessDispatches = 0;
  private mayHaveRun: boolean;
  private failure: AttemptEnd = AttemptEnd.Failed;
  private readonly choice: EndpointChoice;
  private readonly deadlineAtMs: number;

  constructor(
    private readonly parts: PipelineParts,
    private readonly survival: SurvivalParts,
    start: AnswerStart,
  ) {
    this.work = start.work;
    this.target = start.target;
    this.deadlineAtMs = start.deadlineAtMs;
    this.version = start.version;
    this.mayHaveRun = start.target !== undefined;
    this.choice = new EndpointChoice(parts, survival);
  }

  /** What is known of the work if the request ends without an answer. */
  get outcome(): RequestOutcome {
    return this.mayHaveRun ? RequestOutcome.Unknown : RequestOutcome.NotRun;
  }

  /** Takes over the work that a record tells of. */
  adopt(start: AnswerStart): void {
    this.work = start.work;
    this.version = start.version;
  }

  /** Time from which the endpoint in use may be taken, if announced. */
  reclaimAtMs(): number | undefined {
    const endpoint = this.endpoint();
    return this.survival.reclaims.reclaimAtMs(endpoint?.instanceId);
  }

  /** Whether another endpoint takes work that has to leave the present one. */
  hasAlternative(assembler: AnswerAssembler): boolean {
    const situation = this.chosenFor(assembler);
    const excluded = new Set(this.excluded);
    if (this.target !== undefined) excluded.add(this.target.address);
    return this.choice.choose({ ...situation, excluded }) !== undefined;
  }

  /** Opens the stream: a new one, or the present one on another connection. */
  open(
    isResume: boolean,
    assembler: AnswerAssembler,
    signal: AbortSignal,
  ): AsyncIterable<EngineEvent> {
    const { address, streamId } = this.target ?? { address: '', streamId: '' };
    const { engine } = this.parts;
    if (isResume || this.work === undefined) {
      const { deadlineAtMs } = this;
      const fromToken = assembler.nextTokenOffset;
      return engine.resume(
        address,
        { streamId, fromToken, deadlineAtMs },
        signal,
      );
    }
    const { deadlineAtMs, group, maxTokens, messages, priority } = this.work;
    const request = {
      streamId,
      model: group,
      messages,
      maxTokens,
      sentText: assembler.text,
      sentTokens: assembler.nextTokenOffset,
      priority,
      deadlineAtMs,
    };
    return engine.generate(address, request, signal);
  }

  /** Chooses the first endpoint. Throws `RequestError` where none takes work. */
  async dispatch(
    assembler: AnswerAssembler,
    signal: AbortSignal,
  ): Promise<void> {
    const endpoint = this.mayHaveRun
      ? await this.waitForEndpoint(assembler, signal)
      : this.choice.choose(this.chosenFor(assembler));
    if (endpoint === undefined) throw this.noEndpoint();
    this.begin(endpoint, assembler);
  }

  /** Ends the present attempt and begins one elsewhere, with its cache where `moveCache` is set. */
  async moveOn(
    failure: StreamFailure,
    moveCache: boolean,
    assembler: AnswerAssembler,
    signal: AbortSignal,
  ): Promise<void> {
    const left = this.target;
    if (failure === StreamFailure.Reclaimed)
      this.failure = AttemptEnd.Cancelled;
    this.settle(this.failure);
    if (left !== undefined) this.excluded.add(left.address);
    const reclaimAtMs = this.reclaimAtMs() ?? Infinity;
    const endpoint = await this.waitForEndpoint(assembler, signal);
    if (left !== undefined && moveCache) {
      await this.moveCache(left, endpoint.address, reclaimAtMs);
    }
    if (left !== undefined && isStillRunning(failure))
      cancelStream(this.parts, left);
    this.begin(endpoint, assembler);
  }

  recordProgress(released: readonly EngineEvent[]): void {
    this.firstByteAtMs ??= this.parts.clock.nowMs();
    this.mayHaveRun = true;
    this.fruitlessDispatches = 0;
    for (const event of released) {
      if (event.kind === EngineEventKind.Chunk) {
        this.attemptTokens += event.tokens;
      } else {
        this.cachedTokens = event.cachedTokens;
      }
    }
  }

  /** Notes a failure for the router and the log. */
  recordFailure(error: unknown): void {
    if (!(error instanceof PlatformError)) return;
    const { clock, log, router } = this.parts;
    const address = this.target?.address ?? '';
    log.warn(LogPart.Pipeline, 'An attempt failed.', {
      streamId: this.target?.streamId ?? '',
      endpoint: address,
      error: error.message,
    });
    const isRefusal = error instanceof RefusedError;
    this.failure = isRefusal ? AttemptEnd.Refused : AttemptEnd.Failed;
    if (isRefusal && error.leaving) {
      router.markLeaving(address, LeavingSource.Refusal, clock.nowMs());
    }
  }

  /** Reports the last attempt's end; stops its engine where the answer is not wanted. */
  close(isFinished: boolean, isCancelled: boolean): void {
    if (isCancelled && !isFinished && this.target !== undefined) {
      cancelStream(this.parts, this.target);
    }
    this.settle(isFinished ? AttemptEnd.Succeeded : AttemptEnd.Cancelled);
  }

  private begin(endpoint: Endpoint, assembler: AnswerAssembler): void {
    const { clock, random, router } = this.parts;
    this.dispatches += 1;
    this.fruitlessDispatches += 1;
    const suffix = random.nextInteger(Number.MAX_SAFE_INTEGER).toString(36);
    const { requestId } = this.needWork();
    const streamId = `${requestId}.${this.dispatches}.${suffix}`;
    this.target = { address: endpoint.address, streamId };
    this.version = endpoint.version;
    this.attempt = {
      attemptId: streamId,
      address: endpoint.address,
      request: this.choice.route(this.chosenFor(assembler)),
    };
    this.firstByteAtMs = undefined;
    this.attemptTokens = 0;
    this.cachedTokens = undefined;
    this.failure = AttemptEnd.Failed;
    router.recordDispatch(this.attempt, clock.nowMs());
  }

  private settle(end: AttemptEnd): void {
    if (this.attempt === undefined) return;
    const { clock, router } = this.parts;
    const result = {
      end,
      firstByteAtMs: this.firstByteAtMs,
      generatedTokens: this.attemptTokens,
      cachedTokens: this.cachedTokens,
    };
    router.recordEnd(this.attempt, result, clock.nowMs());
    this.attempt = undefined;
  }

  /** Waits a bounded time for an endpoint, for a request that was accepted and begun. */
  private async waitForEndpoint(
    assembler: AnswerAssembler,
    signal: AbortSignal,
  ): Promise<Endpoint> {
    const { clock } = this.parts;
    const { endpointRetryMs, endpointWaitMs } = this.survival.policy;
    const { deadlineAtMs } = this.needWork();
    const untilMs = Math.min(deadlineAtMs, clock.nowMs() + endpointWaitMs);
    const isHopeless = this.fruitlessDispatches >= MAX_FRUITLESS_DISPATCHES;
    while (!isHopeless) {
      const endpoint = this.choice.choose(this.chosenFor(assembler));
      if (endpoint !== undefined) return endpoint;
      if (clock.nowMs() >= untilMs) break;
      this.excluded.clear();
      const nextAtMs = Math.min(untilMs, clock.nowMs() + endpointRetryMs);
      await clock.waitUntil(nextAtMs, signal);
    }
    if (clock.nowMs() >= deadlineAtMs) throw deadlinePassed(this.outcome);
    const retryAtMs = clock.nowMs() + RETRY_DELAY_MS;
    throw givenUp(this.outcome, this.needWork().group, retryAtMs);
  }

  private chosenFor(assembler: AnswerAssembler): ChoiceSituation {
    return {
      work: this.needWork(),
      sentTokens: assembler.nextTokenOffset,
      version: this.version,
      present: this.endpoint(),
      excluded: this.excluded,
    };
  }

  private endpoint(): Endpoint | undefined {
    const address = this.target?.address;
    return this.parts.router
      .endpoints()
      .find(endpoint => endpoint.address === address);
  }

  private async moveCache(
    left: StreamTarget,
    to: string,
    reclaimAtMs: number,
  ): Promise<void> {
    const { clock, engine, log } = this.parts;
    const latestAtMs = clock.nowMs() + this.survival.policy.cacheMoveTimeoutMs;
    const deadlineAtMs = Math.min(latestAtMs, reclaimAtMs);
    try {
      await engine.moveCache(left.address, to, left.streamId, deadlineAtMs);
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      log.warn(LogPart.Streams, 'A KV cache could not be moved.', {
        endpoint: left.address,
        error: error.message,
      });
    }
  }

  private needWork(): ModelRequestSpec {
    if (this.work === undefined) {
      throw new TypeError('The work of this request is not known here.');
    }
    return this.work;
  }

  private noEndpoint() {
    return notRun(
      RequestErrorKind.NoEndpoint,
      `No endpoint of group ${this.needWork().group} takes work at present.`,
      'Send the request again after the time in Retry-After.',
      this.parts.clock.nowMs() + RETRY_DELAY_MS,
    );
  }
}

/** Whether the engine may still work on an attempt that was left. */
function isStillRunning(failure: StreamFailure): boolean {
  return (
    failure === StreamFailure.Reclaimed || failure === StreamFailure.Stalled
  );
}
