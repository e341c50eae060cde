import type { CacheEvent, LoadReport } from '@skylarkreach/core/ports';
import { BLOCK_TOKENS, Priority } from '@skylarkreach/core/ports';
import { PrefixCache } from '@skylarkreach/stand-ins';

import type { EventLoop } from './event-loop.js';
import type { WorkItem } from './workload.js';

/** Capacity limits of a simulated engine. */
export interface EngineModelOptions {
  readonly cacheTokens: number;
  readonly maxRunning: number;
  /** Running and queued requests; further requests are refused. */
  readonly maxActive: number;
}

const MAX_STEP_TOKENS = 512;
const STEP_BASE_MS = 8;
const DECODE_MS_PER_REQUEST = 0.2;
const PREFILL_MS_PER_TOKEN = 0.06;
const REPORT_INTERVAL_MS = 500;
const PRIORITY_ORDER = [Priority.Lookup, Priority.Standard, Priority.Draft];

/** Prefill rate while every step processes a full chunk. */
const PREFILL_TOKENS_PER_SECOND =
  (MAX_STEP_TOKENS * 1_000) /
  (STEP_BASE_MS + MAX_STEP_TOKENS * PREFILL_MS_PER_TOKEN);

/** Request submitted to an engine, with its progress callbacks. */
export interface EngineTask {
  readonly item: WorkItem;
  readonly onFirstToken: () => void;
  readonly onTokenGap: (gapMs: number) => void;
  readonly onFinish: (cachedTokens: number) => void;
}

interface ActiveTask extends EngineTask {
  readonly cachedTokens: number;
  remainingPrefillTokens: number;
  decodedTokens: number;
  lastTokenAtMs: number;
  isActive: boolean;
}

/** Prefill counters shared by all engines of one run. */
export interface PrefillTotals {
  prefilledTokens: number;
  /** Prefilled tokens of blocks that an engine had already computed. */
  recomputedTokens: number;
  readonly computedBlocks: Set<string>;
}

/**
 * Model engine with continuous batching and chunked prefill in simulated time.
 * The duration of a step grows linearly with the number of decoding requests
 * and of prefilled tokens.
 */
export class EngineModel {
  private readonly cache: PrefixCache;
  private readonly activeTasks: ActiveTask[] = [];
  private isStepping = false;
  private lastReport: LoadReport;
  private lastStepMs = STEP_BASE_MS;

  constructor(
    private readonly loop: EventLoop,
    private readonly options: EngineModelOptions,
    private readonly totals: PrefillTotals,
  ) {
    this.cache = new PrefixCache(options.cacheTokens);
    this.lastReport = this.currentLoad();
  }

  /** Queues the task, or returns false if the engine is full. */
  submit(task: EngineTask): boolean {
    if (this.activeTasks.length >= this.options.maxActive) return false;
    const { item } = task;
    const cachedTokens = this.cache.cachedPrefixTokens(item.blockHashes);
    this.insert({
      ...task,
      isActive: true,
      cachedTokens,
      remainingPrefillTokens: Math.max(1, item.promptTokens - cachedTokens),
      decodedTokens: 0,
      lastTokenAtMs: 0,
    });
    if (!this.isStepping) this.startStep();
    return true;
  }

  cancel(item: WorkItem): void {
    const index = this.activeTasks.findIndex(task => task.item === item);
    const [task] = index === -1 ? [] : this.activeTasks.splice(index, 1);
    if (task !== undefined) task.isActive = false;
  }

  /** Returns the latest load report, which may be stale; a report older than 500 ms is replaced for the next call. */
  load(): LoadReport {
    const ageMs = this.loop.nowMs() - this.lastReport.reportedAtMs;
    const previous = this.lastReport;
    if (ageMs >= REPORT_INTERVAL_MS) this.lastReport = this.currentLoad();
    return previous;
  }

  cacheEvents(afterSequence: number): readonly CacheEvent[] {
    return this.cache.eventsAfter(afterSequence);
  }

  private startStep(): void {
    this.isStepping = this.activeTasks.length > 0;
    if (!this.isStepping) return;
    const running = this.runningTasks();
    const decoding = running.filter(task => task.remainingPrefillTokens === 0);
    const prefilled = this.prefill(running, MAX_STEP_TOKENS - decoding.length);
    this.lastStepMs =
      STEP_BASE_MS +
      decoding.length * DECODE_MS_PER_REQUEST +
      prefilled * PREFILL_MS_PER_TOKEN;
    this.loop.schedule(this.loop.nowMs() + this.lastStepMs, () => {
      for (const task of decoding) this.decode(task);
      this.startStep();
    });
  }

  /** Inserts the task in order of priority, then of arrival. */
  private insert(task: ActiveTask): void {
    const rank = PRIORITY_ORDER.indexOf(task.item.priority);
    const index = this.activeTasks.findIndex(
      other => PRIORITY_ORDER.indexOf(other.item.priority) > rank,
    );
    this.activeTasks.splice(
      index === -1 ? this.activeTasks.length : index,
      0,
      task,
    );
  }

  private runningTasks(): ActiveTask[] {
    return this.activeTasks.slice(0, this.options.maxRunning);
  }

  private prefill(running: readonly ActiveTask[], budget: number): number {
    let remainingBudget = Math.max(0, budget);
    for (const task of running) {
      if (task.remainingPrefillTokens === 0 || remainingBudget === 0) continue;
      const tokens = Math.min(task.remainingPrefillTokens, remainingBudget);
      task.remainingPrefillTokens -= tokens;
      remainingBudget -= tokens;
      if (task.remainingPrefillTokens === 0) this.completePrefill(task);
    }
    return Math.max(0, budget) - remainingBudget;
  }

  private completePrefill(task: ActiveTask): void {
    const { blockHashes, promptTokens } = task.item;
    const { totals } = this;
    totals.prefilledTokens += promptTokens - task.cachedTokens;
    for (const hash of blockHashes.slice(task.cachedTokens / BLOCK_TOKENS)) {
      if (totals.computedBlocks.has(hash)) {
        totals.recomputedTokens += BLOCK_TOKENS;
      }
      totals.computedBlocks.add(hash);
    }
    this.cache.store(blockHashes);
  }

  private decode(task: ActiveTask): void {
    if (!task.isActive) return;
    const nowMs = this.loop.nowMs();
    if (task.decodedTokens === 0) task.onFirstToken();
    else task.onTokenGap(nowMs - task.lastTokenAtMs);
    task.lastTokenAtMs = nowMs;
    task.decodedTokens += 1;
    if (task.decodedTokens < task.item.outputTokens) return;
    this.cancel(task.item);
    task.onFinish(task.cachedTokens);
  }

  private currentLoad(): LoadReport {
    const running = Math.min(this.activeTasks.length, this.options.maxRunning);
    return {
      reportedAtMs: this.loop.nowMs(),
      runningRequests: running,
      queuedRequests: this.activeTasks.length - running,
      queuedPrefillTokens: this.sumActive(task => task.remainingPrefillTokens),
      decodingTokensLeft: this.sumActive(
        task => task.item.outputTokens - task.decodedTokens,
      ),
      cacheUsedTokens: this.cache.usedTokens,
      cacheLimitTokens: this.options.cacheTokens,
      prefillTokensPerSecond: PREFILL_TOKENS_PER_SECOND,
      decodeTokensPerSecond: 1_000 / this.lastStepMs,
      leaving: false,
    };
  }

  private sumActive(value: (task: ActiveTask) => number): number {
    return this.activeTasks.reduce((total, task) => total + value(task), 0);
  }
}
