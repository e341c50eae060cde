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
import { EngineStream, StreamEnd } from './engine-stream.js';
import { PrefixCache } from './prefix-cache.js';

export interface ModelEngineOptions {
  readonly version: string;
  /** Time of one batching step in milliseconds. */
  readonly stepMs: number;
  /** Tokens that one step processes, decode and prefill together. */
  readonly stepTokens: number;
  readonly cacheTokens: number;
  readonly loadLagMs: number;
  readonly maxRunning: number;
  /** Refuses orders that carry an old fencing number. */
  readonly checksFencing: boolean;
  /** Breaks every stream at the next step, as a bad version does. */
  readonly breaksStreams: boolean;
}

export const DEFAULT_ENGINE_OPTIONS: ModelEngineOptions = {
  version: 'v1',
  stepMs: 20,
  stepTokens: 2_048,
  cacheTokens: 262_144,
  loadLagMs: 500,
  maxRunning: 64,
  checksFencing: true,
  breaksStreams: false,
};

/** New work that was sent to the engine, whether it took it or not. */
export interface EngineDispatch {
  readonly streamId: string;
  readonly atMs: number;
}

const PRIORITY_ORDER = [Priority.Lookup, Priority.Standard, Priority.Draft];

/** Finished streams that can still be resumed. */
const MAX_KEPT_STREAMS = 500;

/**
 * Stand-in of a model engine: batches continuously with a budget of tokens a
 * step, caches prompt prefixes, honours priorities, resumes and cancels.
 */
export class ModelEngine {
  leaving = false;
  readonly orders: EngineOrder[] = [];
  /** Kept so that a checker can tell work sent to an engine that is leaving. */
  readonly dispatches: EngineDispatch[] = [];
  readonly options: ModelEngineOptions;
  private readonly cache: PrefixCache;
  private readonly streams = new Map<string, EngineStream>();
  private active: EngineStream[] = [];
  private highestFencingNumber = 0;
  private reportedLoad: LoadReport;

  constructor(
    private readonly clock: Clock,
    options: Partial<ModelEngineOptions> = {},
  ) {
    this.options = { ...DEFAULT_ENGINE_OPTIONS, ...options };
    this.cache = new PrefixCache(this.options.cacheTokens);
    this.reportedLoad = this.currentLoad();
  }

  /** Runs steps until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const nextAtMs = this.clock.nowMs() + this.options.stepMs;
      await this.clock.waitUntil(nextAtMs, signal).catch(() => undefined);
      this.step();
    }
  }

  /** Takes a request into the batch. Throws `RefusedError`. */
  generate(
    request: GenerateRequest,
    signal: AbortSignal,
  ): AsyncGenerator<EngineEvent, void, undefined> {
    const { streamId } = request;
    this.dispatches.push({ streamId, atMs: this.clock.nowMs() });
    if (this.leaving) throw new RefusedError('The engine is leaving.', true);
    const promptText = promptTextOf(request.messages);
    const stream = new EngineStream(
      request,
      answerTokens(request.messages).slice(0, request.maxTokens),
      estimateTokens(promptText),
      promptBlockHashes(promptText),
    );
    stream.cachedTokens = this.cache.cachedTokens(stream.blockHashes);
    stream.prefillTokensLeft -= stream.cachedTokens;
    this.streams.set(streamId, stream);
    this.active.push(stream);
    this.dropOldStreams();
    return stream.read(request.sentTokens, signal);
  }

  /** Follows a stream again. Throws `NotFoundError`. */
  resume(
    streamId: string,
    fromToken: number,
    signal: AbortSignal,
  ): AsyncGenerator<EngineEvent, void, undefined> {
    const stream = this.streams.get(streamId);
    if (stream === undefined || stream.end === StreamEnd.Cancelled) {
      throw new NotFoundError(`Stream ${streamId} is not known here.`);
    }
    return stream.read(fromToken, signal);
  }

  cancel(streamId: string): void {
    const stream = this.streams.get(streamId);
    stream?.close(StreamEnd.Cancelled);
    this.active = this.active.filter(other => other !== stream);
  }

  /** Breaks every stream, as a machine that is taken away does. */
  breakStreams(): void {
    for (const stream of this.active) stream.close(StreamEnd.Broken);
    this.active = [];
    this.streams.clear();
  }

  /** Hashes of a stream's prompt, for export to another engine. Throws `NotFoundError`. */
  exportCache(streamId: string): readonly string[] {
    const stream = this.streams.get(streamId);
    if (stream === undefined) {
      throw new NotFoundError(`Stream ${streamId} is not known here.`);
    }
    return stream.blockHashes;
  }

  importCache(blockHashes: readonly string[]): void {
    this.cache.store(blockHashes);
  }

  load(): LoadReport {
    return { ...this.reportedLoad, leaving: this.leaving };
  }

  cacheEvents(afterSequence: number): readonly CacheEvent[] {
    return this.cache.eventsAfter(afterSequence);
  }

  order(order: EngineOrder): OrderOutcome {
    const isOld = order.fencingNumber < this.highestFencingNumber;
    if (isOld && this.options.checksFencing) return OrderOutcome.Fenced;
    this.highestFencingNumber = Math.max(
      this.highestFencingNumber,
      order.fencingNumber,
    );
    this.orders.push(order);
    return OrderOutcome.Accepted;
  }

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

  /** One batching step: a token for each stream that decodes, the rest for prefill. */
  step(): void {
    if (this.options.breaksStreams) this.breakStreams();
    const running = this.byPriority().slice(0, this.options.maxRunning);
    let budgetTokens = this.options.stepTokens;
    for (const stream of running) {
      if (stream.prefillTokensLeft > 0 || budgetTokens === 0) continue;
      stream.decode();
      budgetTokens -= 1;
      this.finishIfDone(stream);
    }
    for (const stream of running) {
      if (stream.prefillTokensLeft <= 0 || budgetTokens === 0) continue;
      const tokens = Math.min(stream.prefillTokensLeft, budgetTokens);
      stream.prefillTokensLeft -= tokens;
      budgetTokens -= tokens;
      if (stream.prefillTokensLeft === 0) this.cache.store(stream.blockHashes);
    }
    this.active = this.active.filter(stream => stream.end === undefined);
    this.refreshLoad();
  }

  private byPriority(): EngineStream[] {
    return [...this.active].sort(
      (left, right) =>
        PRIORITY_ORDER.indexOf(left.request.priority) -
        PRIORITY_ORDER.indexOf(right.request.priority),
    );
  }

  private finishIfDone(stream: EngineStream): void {
    if (stream.tokensLeft > 0) return;
    const isCut = stream.answer.length === stream.request.maxTokens;
    stream.finish(isCut ? FinishReason.Length : FinishReason.Stop);
  }

  private dropOldStreams(): void {
    for (const [streamId, stream] of this.streams) {
      if (this.streams.size <= MAX_KEPT_STREAMS) return;
      if (stream.end !== undefined) this.streams.delete(streamId);
    }
  }

  private refreshLoad(): void {
    const ageMs = this.clock.nowMs() - this.reportedLoad.reportedAtMs;
    if (ageMs >= this.options.loadLagMs) this.reportedLoad = this.currentLoad();
  }

  private currentLoad(): LoadReport {
    const { cacheTokens, maxRunning, stepMs, stepTokens } = this.options;
    const running = this.active.slice(0, maxRunning);
    return {
      reportedAtMs: this.clock.nowMs(),
      runningRequests: running.length,
      queuedRequests: this.active.length - running.length,
      queuedPrefillTokens: sum(this.active, each => each.prefillTokensLeft),
      decodingTokensLeft: sum(this.active, each => each.tokensLeft),
      cacheUsedTokens: this.cache.usedTokens,
      cacheLimitTokens: cacheTokens,
      prefillTokensPerSecond: (stepTokens * 1_000) / stepMs,
      decodeTokensPerSecond: 1_000 / stepMs,
      leaving: this.leaving,
    };
  }
}

function sum(
  streams: readonly EngineStream[],
  value: (stream: EngineStream) => number,
): number {
  return streams.reduce((total, stream) => total + value(stream), 0);
}
