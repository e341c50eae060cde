import type { Clock, Log } from '@skylarkreach/core/ports';
import type { LogComponent } from '@skylarkreach/core/ports';

/** Dependencies of a loop. */
export interface LoopDependencies {
  readonly clock: Clock;
  readonly log: Log;
}

/** Creates a loop that waits for the same interval after each step. */
export function createIntervalLoop(
  { clock, log }: LoopDependencies,
  part: LogComponent,
  name: string,
  intervalMs: number,
  step: () => Promise<void>,
): Loop {
  const nextAtMs = (nowMs: number) => nowMs + intervalMs;
  return new Loop({ name, part, step, nextAtMs }, clock, log);
}

/** Part of a daemon that says itself when its next step is due. */
export interface Poller {
  step(): Promise<void>;
  nextAtMs(nowMs: number): number;
}

export function createPollerLoop(
  { clock, log }: LoopDependencies,
  part: LogComponent,
  name: string,
  poller: Poller,
): Loop {
  const nextAtMs = (nowMs: number) => poller.nextAtMs(nowMs);
  return new Loop(
    { name, part, nextAtMs, step: () => poller.step() },
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
      const nextAtMs = this.options.nextAtMs(this.clock.nowMs());
      await this.clock.waitUntil(nextAtMs, signal).catch(() => undefined);
    }
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
