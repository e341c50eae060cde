import type { Endpoint, EngineEvent } from '../ports/index.js';
import {
  EngineEventKind,
  LogComponent,
  NotSentError,
  PlatformError,
  RefusedError,
} from '../ports/index.js';
import type { Attempt } from '../routing/index.js';
import { AttemptEnd, LeavingSource } from '../routing/index.js';
import type { AnswerAssembler, ModelRequestSpec } from '../streams/index.js';
import { StreamFailure } from '../streams/index.js';
import type { AnswerStart, StreamTarget } from './answer-start.js';
import { cancelStream } from './cancel-stream.js';
import type { EndpointRequirements } from './endpoint-choice.js';
import { EndpointSelector } from './endpoint-choice.js';
import type { FailoverDependencies } from './failover-dependencies.js';
import type { PipelineDependencies } from './pipeline-dependencies.js';
import {
  notRunError,
  RequestErrorKind,
  RequestOutcome,
} from './request-error.js';
import { attemptsExhaustedError, deadlinePassedError } from './run-errors.js';

const RETRY_DELAY_MS = 1_000;

/**
 * Limit of consecutive dispatches of a request without progress, after which it
 * fails. Refusals do not count once its stream has begun, as its caller would lose
 * what it has; they only come more slowly from then on.
 */
const MAX_DISPATCHES_WITHOUT_PROGRESS = 8;

/** Attempts at one answer: selects their endpoints and reports to the router how each ended. */
export class AttemptSeries {
  target: StreamTarget | undefined;
  /** Version that generated the text so far; later attempts use the same one unless it was rolled back. */
  version: string | undefined;
  private work: ModelRequestSpec | undefined;
  private attempt: Attempt | undefined;
  private firstByteAtMs: number | undefined;
  private attemptTokens = 0;
  private cachedTokens: number | undefined;
  private readonly excludedAddresses = new Set<string>();
  private dispatchCount = 0;
  private dispatchesWithoutProgress = 0;
  private refusalsWithoutProgress = 0;
  private hasBegun: boolean;
  private mayHaveRun: boolean;
  /** Whether the current attempt was sent and nothing shows that it was not run. */
  private isSent = false;
  /** End to report to the router if the current attempt does not succeed. */
  private failureEnd: AttemptEnd = AttemptEnd.Failed;
  private readonly selector: EndpointSelector;
  private readonly deadlineAtMs: number;

  constructor(
    private readonly deps: PipelineDependencies,
    private readonly failover: FailoverDependencies,
    start: AnswerStart,
  ) {
    this.work = start.work;
    this.target = start.target;
    this.deadlineAtMs = start.deadlineAtMs;
    this.version = start.version;
    this.mayHaveRun = start.target !== undefined;
    this.hasBegun = this.mayHaveRun || start.sentTokens > 0;
    this.selector = new EndpointSelector(deps, failover);
  }

  /** Whether the work may have run, for the error if the request ends without an answer. */
  get outcome(): RequestOutcome {
    return this.mayHaveRun || this.isSent
      ? RequestOutcome.Unknown
      : RequestOutcome.NotRun;
  }

  /** Adopts the work and version loaded from a record. */
  adoptWork(start: AnswerStart): void {
    this.work = start.work;
    this.version = start.version;
  }

  /** Announced time at which the current endpoint's instance is reclaimed; undefined if none is announced. */
  reclaimAtMs(): number | undefined {
    const endpoint = this.currentEndpoint();
    return this.failover.reclaims.reclaimAtMs(endpoint?.instanceId);
  }

  /** Whether an endpoint other than the current one would accept the work. */
  hasAlternative(assembler: AnswerAssembler): boolean {
    const requirements = this.requirements(assembler);
    const excluded = new Set(this.excludedAddresses);
    if (this.target !== undefined) excluded.add(this.target.address);
    return this.selector.choose({ ...requirements, excluded }) !== undefined;
  }

  /** Opens a new stream, or the current one on a new connection. */
  openStream(
    isResume: boolean,
    assembler: AnswerAssembler,
    signal: AbortSignal,
  ): AsyncIterable<EngineEvent> {
    const { address, streamId } = this.target ?? { address: '', streamId: '' };
    const { engine } = this.deps;
    if (isResume || this.work === undefined) {
      // What follows on the stream no longer tells whether its first connection reached the engine.
      this.mayHaveRun ||= this.isSent;
      this.isSent = false;
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
    this.isSent = true;
    return engine.generate(address, request, signal);
  }

  /** Dispatches the first attempt. Throws `RequestError` if no endpoint accepts work. */
  async dispatch(
    assembler: AnswerAssembler,
    signal: AbortSignal,
  ): Promise<void> {
    const endpoint = this.mayHaveRun
      ? await this.waitForEndpoint(assembler, signal)
      : this.selector.choose(this.requirements(assembler));
    if (endpoint === undefined) throw this.noEndpointError();
    this.startAttempt(endpoint, assembler);
  }

  /** Ends the current attempt and starts one on another endpoint; moves the KV cache first if `isCacheMove` is set. */
  async failOver(
    failure: StreamFailure,
    isCacheMove: boolean,
    assembler: AnswerAssembler,
    signal: AbortSignal,
  ): Promise<void> {
    const previous = this.target;
    if (failure === StreamFailure.Reclaimed)
      this.failureEnd = AttemptEnd.Cancelled;
    this.endAttempt(this.failureEnd);
    if (previous !== undefined) this.excludedAddresses.add(previous.address);
    const reclaimAtMs = this.reclaimAtMs() ?? Infinity;
    const endpoint = await this.waitForEndpoint(assembler, signal);
    if (previous !== undefined && isCacheMove) {
      await this.moveCache(previous, endpoint.address, reclaimAtMs);
    }
    if (previous !== undefined && mayStillRun(failure))
      cancelStream(this.deps, previous);
    this.startAttempt(endpoint, assembler);
  }

  recordProgress(released: readonly EngineEvent[]): void {
    this.firstByteAtMs ??= this.deps.clock.nowMs();
    this.mayHaveRun = true;
    this.hasBegun = true;
    this.dispatchesWithoutProgress = 0;
    this.refusalsWithoutProgress = 0;
    for (const event of released) {
      if (event.kind === EngineEventKind.Chunk) {
        this.attemptTokens += event.tokens;
      } else {
        this.cachedTokens = event.cachedTokens;
      }
    }
  }

  /** Logs a failure of the current attempt and reports a leaving endpoint to the router. */
  recordFailure(error: unknown): void {
    if (!(error instanceof PlatformError)) return;
    const isNotRun =
      error instanceof RefusedError || error instanceof NotSentError;
    if (error instanceof RefusedError && this.isSent && this.hasBegun) {
      const { dispatchesWithoutProgress } = this;
      this.dispatchesWithoutProgress = Math.max(
        0,
        dispatchesWithoutProgress - 1,
      );
      this.refusalsWithoutProgress += 1;
    }
    if (isNotRun) this.isSent = false;
    const { clock, log, router } = this.deps;
    const address = this.target?.address ?? '';
    log.warn(LogComponent.Pipeline, 'An attempt failed.', {
      streamId: this.target?.streamId ?? '',
      endpoint: address,
      error: error.message,
    });
    const isRefusal = error instanceof RefusedError;
    this.failureEnd = isRefusal ? AttemptEnd.Refused : AttemptEnd.Failed;
    if (isRefusal && error.leaving) {
      router.markLeaving(address, LeavingSource.Refusal, clock.nowMs());
    }
  }

  /** Reports the end of the last attempt; cancels its stream if the request was cancelled. */
  close(isFinished: boolean, isCancelled: boolean): void {
    if (isCancelled && !isFinished && this.target !== undefined) {
      cancelStream(this.deps, this.target);
    }
    this.endAttempt(isFinished ? AttemptEnd.Succeeded : AttemptEnd.Cancelled);
  }

  private startAttempt(endpoint: Endpoint, assembler: AnswerAssembler): void {
    const { clock, random, router } = this.deps;
    this.mayHaveRun ||= this.isSent;
    this.isSent = false;
    this.dispatchCount += 1;
    this.dispatchesWithoutProgress += 1;
    const suffix = random.nextInteger(Number.MAX_SAFE_INTEGER).toString(36);
    const { requestId } = this.requireWork();
    const streamId = `${requestId}.${this.dispatchCount}.${suffix}`;
    this.target = { address: endpoint.address, streamId };
    this.version = endpoint.version;
    this.attempt = {
      attemptId: streamId,
      address: endpoint.address,
      request: this.selector.toRouteRequest(this.requirements(assembler)),
    };
    this.firstByteAtMs = undefined;
    this.attemptTokens = 0;
    this.cachedTokens = undefined;
    this.failureEnd = AttemptEnd.Failed;
    router.recordDispatch(this.attempt, clock.nowMs());
  }

  private endAttempt(end: AttemptEnd): void {
    if (this.attempt === undefined) return;
    const { clock, router } = this.deps;
    const result = {
      end,
      firstByteAtMs: this.firstByteAtMs,
      generatedTokens: this.attemptTokens,
      cachedTokens: this.cachedTokens,
    };
    router.recordEnd(this.attempt, result, clock.nowMs());
    this.attempt = undefined;
  }

  /** Waits a bounded time for an endpoint for a request whose work has begun. Throws `RequestError`. */
  private async waitForEndpoint(
    assembler: AnswerAssembler,
    signal: AbortSignal,
  ): Promise<Endpoint> {
    const { clock } = this.deps;
    const { endpointRetryMs, endpointWaitMs } = this.failover.policy;
    const { deadlineAtMs } = this.requireWork();
    const waitUntilMs = Math.min(deadlineAtMs, clock.nowMs() + endpointWaitMs);
    const isExhausted =
      this.dispatchesWithoutProgress >= MAX_DISPATCHES_WITHOUT_PROGRESS;
    if (this.refusalsWithoutProgress >= MAX_DISPATCHES_WITHOUT_PROGRESS)
      await clock.waitUntil(
        Math.min(waitUntilMs, clock.nowMs() + endpointRetryMs),
        signal,
      );
    while (!isExhausted) {
      const endpoint = this.selector.choose(this.requirements(assembler));
      if (endpoint !== undefined) return endpoint;
      if (clock.nowMs() >= waitUntilMs) break;
      this.excludedAddresses.clear();
      const nextTryAtMs = Math.min(
        waitUntilMs,
        clock.nowMs() + endpointRetryMs,
      );
      await clock.waitUntil(nextTryAtMs, signal);
    }
    if (clock.nowMs() >= deadlineAtMs) throw deadlinePassedError(this.outcome);
    const retryAtMs = clock.nowMs() + RETRY_DELAY_MS;
    throw attemptsExhaustedError(
      this.outcome,
      this.requireWork().group,
      retryAtMs,
    );
  }

  private requirements(assembler: AnswerAssembler): EndpointRequirements {
    return {
      work: this.requireWork(),
      sentTokens: assembler.nextTokenOffset,
      version: this.version,
      currentEndpoint: this.currentEndpoint(),
      excluded: this.excludedAddresses,
    };
  }

  private currentEndpoint(): Endpoint | undefined {
    const address = this.target?.address;
    return this.deps.router
      .endpoints()
      .find(endpoint => endpoint.address === address);
  }

  private async moveCache(
    previous: StreamTarget,
    toAddress: string,
    reclaimAtMs: number,
  ): Promise<void> {
    const { clock, engine, log } = this.deps;
    const timeoutAtMs = clock.nowMs() + this.failover.policy.cacheMoveTimeoutMs;
    const deadlineAtMs = Math.min(timeoutAtMs, reclaimAtMs);
    try {
      await engine.moveCache(
        previous.address,
        toAddress,
        previous.streamId,
        deadlineAtMs,
      );
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      log.warn(LogComponent.Streams, 'A KV cache could not be moved.', {
        endpoint: previous.address,
        error: error.message,
      });
    }
  }

  private requireWork(): ModelRequestSpec {
    if (this.work === undefined) {
      throw new TypeError(
        'No record of this request is loaded, so it cannot be dispatched.',
      );
    }
    return this.work;
  }

  private noEndpointError() {
    return notRunError(
      RequestErrorKind.NoEndpoint,
      `No endpoint of group ${this.requireWork().group} is accepting work.`,
      'Send the request again after the time in Retry-After.',
      this.deps.clock.nowMs() + RETRY_DELAY_MS,
    );
  }
}

/** Whether the engine may still be generating for an abandoned attempt. */
function mayStillRun(failure: StreamFailure): boolean {
  return (
    failure === StreamFailure.Reclaimed || failure === StreamFailure.Stalled
  );
}
