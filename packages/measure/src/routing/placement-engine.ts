import type { PromptPart, ReportedLoad } from '@skylarkreach/core/forwarding';
import { PromptCache, sumTokens } from '@skylarkreach/core/forwarding';

import type { EventLoop } from './event-loop.js';

export interface PlacementEngineOptions {
  readonly slots: number;
  /** Speed relative to an engine of 1. */
  readonly speed: number;
}

/** Request at an engine. */
export interface EngineJob {
  readonly parts: readonly PromptPart[];
  readonly events: number;
  readonly onFirstEvent: () => void;
  readonly onEnd: () => void;
}

interface RunningJob extends EngineJob {
  prefillTokens: number;
  eventsLeft: number;
}

/** Prompt tokens that a step reads at most. */
const CHUNK_TOKENS = 1_536; // the users specify 1,024 to 2,048
const PREFILL_TOKENS_PER_MS = 80; // the users specify 50 to 112
const STEP_MS = 4.7; // the users specify 3.4 to 6
const STEP_MS_PER_REQUEST = 0.07; // the users specify 0.04 to 0.1
const CACHE_TOKENS = 296_000; // two thirds of the 444,000 that the users specify
/** Waiting requests at which an engine rejects further ones, for each slot. */
const PLACES_PER_SLOT = 0.5;
/** Age at which a report of the load is replaced. */
const REPORT_INTERVAL_MS = 150;

/** Engine that reads prompts in chunks between the steps in which it decodes, with a cache of prompts. */
export class PlacementEngine {
  /** Factor by which other work on its machine slows the engine down. */
  slowdown = 1;
  /** Prompt tokens of shared parts that were read. */
  sharedTokensRead = 0;
  rejections = 0;
  private readonly cache = new PromptCache(() => CACHE_TOKENS);
  private running: RunningJob[] = [];
  private readonly waiting: EngineJob[] = [];
  private isStepping = false;
  private report: ReportedLoad;
  private reportedAtMs = 0;

  constructor(
    private readonly loop: EventLoop,
    private readonly options: PlacementEngineOptions,
  ) {
    this.report = this.currentLoad();
  }

  /** Takes the job, or returns false if all places are taken. */
  submit(job: EngineJob): boolean {
    const { slots } = this.options;
    if (this.running.length < slots) this.start(job);
    else if (this.waiting.length < slots * PLACES_PER_SLOT)
      this.waiting.push(job);
    else {
      this.rejections += 1;
      return false;
    }
    if (!this.isStepping) this.step();
    return true;
  }

  /** Returns the load at the last moment at which it was measured for a report. */
  load(): ReportedLoad {
    const nowMs = this.loop.nowMs();
    if (nowMs - this.reportedAtMs < REPORT_INTERVAL_MS) return this.report;
    this.report = this.currentLoad();
    this.reportedAtMs = nowMs;
    return this.report;
  }

  private currentLoad(): ReportedLoad {
    return {
      running: this.running.length,
      waiting: this.waiting.length,
      slots: this.options.slots,
      slowdown: this.slowdown,
    };
  }

  private start(job: EngineJob): void {
    const prefillTokens = Math.max(1, this.cache.uncachedTokens(job.parts));
    const own = job.parts.at(-1)?.tokens ?? 0;
    this.sharedTokensRead += Math.max(0, prefillTokens - own);
    this.running.push({ ...job, prefillTokens, eventsLeft: job.events });
  }

  private step(): void {
    this.isStepping = this.running.length > 0;
    if (!this.isStepping) return;
    const decoding = this.running.filter(job => job.prefillTokens === 0);
    const chunk = this.prefill();
    const workMs =
      STEP_MS +
      this.running.length * STEP_MS_PER_REQUEST +
      sumTokens(chunk.read) / PREFILL_TOKENS_PER_MS;
    const stepMs = (workMs * this.slowdown) / this.options.speed;
    this.loop.schedule(this.loop.nowMs() + stepMs, () => {
      for (const job of [...decoding, ...chunk.complete]) this.emit(job);
      while (this.running.length < this.options.slots) {
        const next = this.waiting.shift();
        if (next === undefined) break;
        this.start(next);
      }
      this.step();
    });
  }

  private prefill() {
    const read: PromptPart[] = [];
    const complete: RunningJob[] = [];
    let budget = CHUNK_TOKENS;
    for (const job of this.running) {
      if (job.prefillTokens === 0 || budget === 0) continue;
      const tokens = Math.min(job.prefillTokens, budget);
      job.prefillTokens -= tokens;
      budget -= tokens;
      read.push({ id: '', tokens });
      if (job.prefillTokens > 0) continue;
      this.cache.add(job.parts);
      complete.push(job);
    }
    return { read, complete };
  }

  private emit(job: RunningJob): void {
    if (job.eventsLeft === job.events) job.onFirstEvent();
    job.eventsLeft -= 1;
    if (job.eventsLeft > 0) return;
    this.running = this.running.filter(other => other !== job);
    job.onEnd();
  }
}
