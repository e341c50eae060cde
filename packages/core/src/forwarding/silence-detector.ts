import { FruitlessBytes } from './fruitless-bytes.js';
import type { IdleTimerDependencies } from './idle-timer.js';
import { IdleTimer } from './idle-timer.js';

export interface SilenceOptions {
  /** Time from sending the request to the first chunk of the response body, or to the first event of a stream, after which the endpoint is silent. */
  readonly firstChunkTimeoutMs: number;
  /** Gap between two chunks of the body, or between two events of a stream, after which the endpoint is silent. */
  readonly chunkGapTimeoutMs: number;
  /** Returns whether another attempt takes over from an endpoint that is silent; the attempt waits on if not. */
  readonly onSilence: () => boolean;
}

export interface SilenceListener {
  /** Called at the start of each silence. */
  readonly onSilent: () => void;
  /** Called once at most, when the endpoint is left. */
  readonly onAbandoned: () => void;
}

/** Decides when an attempt abandons an endpoint that makes no progress. */
export class SilenceDetector {
  /** Delay with which the endpoint was found to be silent; undefined if it is not abandoned. */
  noticedLateMs: number | undefined;
  isSilent = false;
  private readonly fruitless: FruitlessBytes;
  private readonly timer: IdleTimer;

  constructor(
    private readonly deps: IdleTimerDependencies,
    private readonly options: SilenceOptions,
    private readonly listener: SilenceListener,
  ) {
    this.fruitless = new FruitlessBytes(options.chunkGapTimeoutMs);
    this.timer = new IdleTimer(deps, lateMs => this.handleIdle(lateMs));
  }

  start(): void {
    this.timer.reset(this.options.firstChunkTimeoutMs);
  }

  /** Treats the endpoint as silent from now on. */
  expire(): void {
    this.timer.reset(0);
  }

  stop(): void {
    this.timer.stop();
  }

  recordProgress(): void {
    this.isSilent = false;
    this.fruitless.recordProgress();
    this.timer.reset(this.options.chunkGapTimeoutMs);
  }

  /** Suspends the timeout while the caller, not the endpoint, is slow; progress resumes it. */
  pause(): void {
    this.timer.reset(Infinity);
  }

  /** Records bytes that complete no event for the caller; they do not keep the attempt alive. */
  recordFruitless(): void {
    this.fruitless.record(this.deps.clock.nowMs());
  }

  private handleIdle(lateMs: number): boolean {
    if (!this.isSilent) this.listener.onSilent();
    this.isSilent = true;
    const isAbandoned = this.options.onSilence() || this.fruitless.isEndless;
    if (!isAbandoned) return false;
    this.noticedLateMs = lateMs;
    this.listener.onAbandoned();
    return true;
  }
}
