import type {
  CacheEvent,
  Clock,
  EngineEvent,
  EngineInventory,
  EngineOrder,
  GenerateRequest,
  LoadReport,
} from '@skylarkreach/core/ports';
import {
  EngineOrderKind,
  estimateTokens,
  FinishReason,
  NotFoundError,
  OrderOutcome,
  Priority,
  promptBlockHashes,
  promptTextOf,
  RefusedError,
} from '@skylarkreach/core/ports';

import { answerTokens } from './answer-text.js';
import { EngineStream, StreamEndState } from './engine-stream.js';
import { PrefixCache } from './prefix-cache.js';

export interface ModelEngineOptions {
  /** Model version that the engine serves. */
  readonly version: string;
  /** Duration of one batching step, in milliseconds. */
  readonly stepMs: number;
  /** Token budget of one step, shared by decode and prefill. */
  readonly stepTokens: number;
  /** Capacity of the prefix cache, in tokens. */
  readonly cacheTokens: number;
  /** Minimum age of a load report before it is refreshed, in milliseconds. */
  readonly loadReportIntervalMs: number;
  /** Maximum number of streams in the batch. */
  readonly maxRunningStreams: number;
  /** Whether orders whose fencing number is lower than the highest one seen are rejected. */
  readonly checksFencing: boolean;
  /** Whether every stream is broken at the next step, as with a faulty model version. */
  readonly breaksStreams: boolean;
}

export const DEFAULT_ENGINE_OPTIONS: ModelEngineOptions = {
  version: 'v1',
  stepMs: 20,
  stepTokens: 2_048,
  cacheTokens: 262_144,
  loadReportIntervalMs: 500,
  maxRunningStreams: 64,
  checksFencing: true,
  breaksStreams: false,
};

/** A generate request received by the engine, whether accepted or refused. */
export interface EngineDispatch {
  readonly streamId: string;
  readonly atMs: number;
}

/** Priorities, highest first. */
const PRIORITY_ORDER = [Priority.Lookup, Priority.Standard, Priority.Draft];

/** Number of streams above which ended streams are evicted; evicted streams cannot be resumed. */
const MAX_RETAINED_STREAMS = 500;

/**
 * Stand-in for a model engine: continuous batching with a token budget per step,
 * prompt prefix caching, request priorities, and resumable and cancellable streams.
 */
export class ModelEngine {
  /** Whether the engine refuses new requests because it is shutting down. */
  isLeaving = false;
  /** Accepted orders, oldest first. */
  readonly orders: EngineOrder[] = [];
  /** Recorded so that a checker can detect requests sent to a leaving engine. */
  readonly dispatches: EngineDispatch[] = [];
  readonly options: ModelEngineOptions;
  private readonly cache: PrefixCache;
  private readonly streams = new Map<string, EngineStream>();
  private activeStreams: EngineStream[] = [];
  private highestFencingNumber = 0;
  private reportedLoad: LoadReport;

  constructor(
    private readonly clock: Clock,
    options: Partial<ModelEngineOptions> = {},
  ) {
    this.options = { ...DEFAULT_ENGINE_OPTIONS, ...options };
    this.cache = new PrefixCache(this.options.cacheTokens);
    this.reportedLoad = this.createLoadReport();
  }

  /** Runs batching steps until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const nextAtMs = this.clock.nowMs() + this.options.stepMs;
      await this.clock.waitUntil(nextAtMs, signal).catch(() => undefined);
      this.step();
    }
  }

  /**
   * Adds a request to the batch and returns its events. Throws `RefusedError`
   * if the engine is leaving.
   */
  generate(
    request: GenerateRequest,
    signal: AbortSignal,
  ): AsyncGenerator<EngineEvent, void, undefined> {
    const { streamId } = request;
    this.dispatches.push({ streamId, atMs: this.clock.nowMs() });
    if (this.isLeaving) throw new RefusedError('The engine is leaving.', true);
    const promptText = promptTextOf(request.messages);
    const stream = new EngineStream(
      request,
      answerTokens(request.messages).slice(0, request.maxTokens),
      estimateTokens(promptText),
      promptBlockHashes(promptText),
    );
    stream.cachedTokens = this.cache.cachedPrefixTokens(stream.blockHashes);
    stream.prefillTokensLeft -= stream.cachedTokens;
    this.streams.set(streamId, stream);
    this.activeStreams.push(stream);
    this.evictEndedStreams();
    return stream.read(request.sentTokens, signal);
  }

  /**
   * Returns the events of a stream from the token offset `fromToken` on. Throws
   * `NotFoundError` if the stream is unknown or was cancelled.
   */
  resume(
    streamId: string,
    fromToken: number,
    signal: AbortSignal,
  ): AsyncGenerator<EngineEvent, void, undefined> {
    const stream = this.streams.get(streamId);
    if (stream === undefined || stream.endState === StreamEndState.Cancelled) {
      throw new NotFoundError(`Stream ${streamId} is unknown to this engine.`);
    }
    return stream.read(fromToken, signal);
  }

  /** Cancels a stream; unknown ids are ignored. */
  cancel(streamId: string): void {
    const stream = this.streams.get(streamId);
    stream?.close(StreamEndState.Cancelled);
    this.activeStreams = this.activeStreams.filter(other => other !== stream);
  }

  /** Breaks all active streams and forgets the ended ones, as the loss of the instance does. */
  breakStreams(): void {
    for (const stream of this.activeStreams)
      stream.close(StreamEndState.Broken);
    this.activeStreams = [];
    this.streams.clear();
  }

  /**
   * Returns the block hashes of a stream's prompt, for export to another engine.
   * Throws `NotFoundError` if the stream is unknown.
   */
  exportCache(streamId: string): readonly string[] {
    const stream = this.streams.get(streamId);
    if (stream === undefined) {
      throw new NotFoundError(`Stream ${streamId} is unknown to this engine.`);
    }
    return stream.blockHashes;
  }

  /** Adds blocks exported by another engine to the prefix cache. */
  importCache(blockHashes: readonly string[]): void {
    this.cache.store(blockHashes);
  }

  /** Returns the last load report, with the current `leaving` flag. */
  load(): LoadReport {
    return { ...this.reportedLoad, leaving: this.isLeaving };
  }

  cacheEvents(afterSequence: number): readonly CacheEvent[] {
    return this.cache.eventsAfter(afterSequence);
  }

  /** Records an order, or rejects it as `Fenced` if its fencing number is stale. */
  applyOrder(order: EngineOrder): OrderOutcome {
    const isStale = order.fencingNumber < this.highestFencingNumber;
    if (isStale && this.options.checksFencing) return OrderOutcome.Fenced;
    this.highestFencingNumber = Math.max(
      this.highestFencingNumber,
      order.fencingNumber,
    );
    this.orders.push(order);
    return OrderOutcome.Accepted;
  }

  /** Returns the models, adapters, versions and role that follow from the accepted orders. */
  inventory(): EngineInventory {
    const targetsOf = (kind: EngineOrderKind) =>
      this.orders
        .filter(order => order.kind === kind)
        .map(order => order.target);
    return {
      models: targetsOf(EngineOrderKind.LoadModel),
      adapters: targetsOf(EngineOrderKind.LoadAdapter),
      versions: [
        this.options.version,
        ...targetsOf(EngineOrderKind.LoadVersion),
      ],
      role: targetsOf(EngineOrderKind.ChangeRole).at(-1) ?? 'serve',
      orderIds: this.orders.map(order => order.orderId),
    };
  }

  /** Runs one batching step: decodes a token per prefilled stream, then spends the rest of the budget on prefill. */
  step(): void {
    if (this.options.breaksStreams) this.breakStreams();
    const running = this.activeByPriority().slice(
      0,
      this.options.maxRunningStreams,
    );
    let budgetTokens = this.options.stepTokens;
    for (const stream of running) {
      if (stream.prefillTokensLeft > 0 || budgetTokens === 0) continue;
      stream.decodeNextToken();
      budgetTokens -= 1;
      this.finishIfComplete(stream);
    }
    for (const stream of running) {
      if (stream.prefillTokensLeft <= 0 || budgetTokens === 0) continue;
      const tokens = Math.min(stream.prefillTokensLeft, budgetTokens);
      stream.prefillTokensLeft -= tokens;
      budgetTokens -= tokens;
      if (stream.prefillTokensLeft === 0) this.cache.store(stream.blockHashes);
    }
    this.activeStreams = this.activeStreams.filter(
      stream => stream.endState === undefined,
    );
    this.refreshLoadReport();
  }

  private activeByPriority(): EngineStream[] {
    return [...this.activeStreams].sort(
      (left, right) =>
        PRIORITY_ORDER.indexOf(left.request.priority) -
        PRIORITY_ORDER.indexOf(right.request.priority),
    );
  }

  private finishIfComplete(stream: EngineStream): void {
    if (stream.tokensLeft > 0) return;
    const isTruncated = stream.fullAnswer.length === stream.request.maxTokens;
    stream.finish(isTruncated ? FinishReason.Length : FinishReason.Stop);
  }

  private evictEndedStreams(): void {
    for (const [streamId, stream] of this.streams) {
      if (this.streams.size <= MAX_RETAINED_STREAMS) return;
      if (stream.endState !== undefined) this.streams.delete(streamId);
    }
  }

  private refreshLoadReport(): void {
    const ageMs = this.clock.nowMs() - this.reportedLoad.reportedAtMs;
    if (ageMs >= this.options.loadReportIntervalMs)
      this.reportedLoad = this.createLoadReport();
  }

  private createLoadReport(): LoadReport {
    const { cacheTokens, maxRunningStreams, stepMs, stepTokens } = this.options;
    const running = this.activeStreams.slice(0, maxRunningStreams);
    return {
      reportedAtMs: this.clock.nowMs(),
      runningRequests: running.length,
      queuedRequests: this.activeStreams.length - running.length,
      queuedPrefillTokens: sum(
        this.activeStreams,
        stream => stream.prefillTokensLeft,
      ),
      decodingTokensLeft: sum(this.activeStreams, stream => stream.tokensLeft),
      cacheUsedTokens: this.cache.usedTokens,
      cacheLimitTokens: cacheTokens,
      prefillTokensPerSecond: (stepTokens * 1_000) / stepMs,
      decodeTokensPerSecond: 1_000 / stepMs,
      leaving: this.isLeaving,
    };
  }
}

function sum(
  streams: readonly EngineStream[],
  value: (stream: EngineStream) => number,
): number {
  return streams.reduce((total, stream) => total + value(stream), 0);
}
