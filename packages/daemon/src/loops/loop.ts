import type { Clock, Log } from '@skylarkreach/core/ports';
import type { LogPart } from '@skylarkreach/core/ports';

/** What every loop is made with. */
export interface LoopBase {
  readonly clock: Clock;
  readonly log: Log;
}

/** Repeats a step, each time after the same pause. */
export function everyInterval(
  { clock, log }: LoopBase,
  part: LogPart,
  name: string,
  intervalMs: number,
  step: () => Promise<void>,
): Loop {
  const nextAtMs = (nowMs: number) => nowMs + intervalMs;
  return new Loop({ name, part, step, nextAtMs }, clock, log);
}

export interface LoopOptions {
  readonly name: string;
  readonly part: LogPart;
  /** Time of the next step, given the time at which the last one ended. */
  readonly nextAtMs: (nowMs: number) => number;
  readonly step: () => Promise<void>;
}

/** Repeats a step until it is stopped; a failed step is logged and tried again. */
export class Loop {
  private readonly stopSignal = new AbortController();
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
    this.stopSignal.abort();
    await this.running;
  }

  private async run(): Promise<void> {
    const { signal } = this.stopSignal;
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
      if (this.stopSignal.signal.aborted) return;
      const { name, part } = this.options;
      this.log.warn(part, `The ${name} loop failed and tries again.`, {
        error: String(error),
      });
    }
  }
}
