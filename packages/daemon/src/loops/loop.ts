import type { Clock, Log } from '@skylarkreach/core/ports';
import type { LogComponent } from '@skylarkreach/core/ports';

import { waitForCommonTime } from './common-times.js';

/** Dependencies of a loop. */
export interface LoopDependencies {
  readonly clock: Clock;
  readonly log: Log;
}

/** Creates a loop that waits for about the same interval after each step. */
export function createIntervalLoop(
  { clock, log }: LoopDependencies,
  part: LogComponent,
  name: string,
  intervalMs: number,
  step: () => Promise<void>,
): Loop {
  const nextAtMs = (nowMs: number) => nowMs + intervalMs;
  const options = { name, part, step, nextAtMs, mayShift: true };
  return new Loop(options, clock, log);
}

/** Part of a daemon that says itself when its next step is due. */
export interface Poller {
  step(): Promise<void>;
  nextAtMs(nowMs: number): number;
  /** See `LoopOptions`. */
  readonly mayShift?: boolean;
}

export function createPollerLoop(
  { clock, log }: LoopDependencies,
  part: LogComponent,
  name: string,
  poller: Poller,
): Loop {
  const nextAtMs = (nowMs: number) => poller.nextAtMs(nowMs);
  return new Loop(
    {
      ...{ name, part, nextAtMs, step: () => poller.step() },
      mayShift: poller.mayShift === true,
    },
    clock,
    log,
  );
}

export interface LoopOptions {
  readonly name: string;
  readonly part: LogComponent;
  /** Returns the time of the next step, given the time at which the last step ended. */
  readonly nextAtMs: (nowMs: number) => number;
  readonly step: () => Promise<void>;
  /** Whether a step may be shifted by some milliseconds, so that it runs together with others; false by default. */
  readonly mayShift?: boolean;
}

/** Loop that repeats a step until it is stopped. A failed step is logged and retried at its next time. */
export class Loop {
  private readonly stopController = new AbortController();
  private running: Promise<void> | undefined;

  constructor(
    private readonly options: LoopOptions,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  start(): void {
    this.running ??= this.run();
  }

  async stop(): Promise<void> {
    this.stopController.abort();
    await this.running;
  }

  private async run(): Promise<void> {
    const { signal } = this.stopController;
    while (!signal.aborted) {
      await this.stepOnce();
      await this.wait(signal);
    }
  }

  private async wait(signal: AbortSignal): Promise<void> {
    const { mayShift = false, nextAtMs } = this.options;
    const nowMs = this.clock.nowMs();
    const atMs = nextAtMs(nowMs);
    if (mayShift) await waitForCommonTime(this.clock, nowMs, atMs, signal);
    else await this.clock.waitUntil(atMs, signal).catch(() => undefined);
  }

  private async stepOnce(): Promise<void> {
    try {
      await this.options.step();
    } catch (error) {
      if (this.stopController.signal.aborted) return;
      const { name, part } = this.options;
      this.log.warn(part, `A step of the ${name} loop failed and is retried.`, {
        error: String(error),
      });
    }
  }
}
