import type { Clock } from '@skylarkreach/core/ports';

/** Clock of one process of a deployment; a wait of a process that was killed never ends. */
export class ProcessClock implements Clock {
  private readonly ended = new AbortController();

  constructor(private readonly clock: Clock) {}

  nowMs(): number {
    return this.clock.nowMs();
  }

  async waitUntil(atMs: number, signal?: AbortSignal): Promise<void> {
    const { signal: ended } = this.ended;
    const either =
      signal === undefined ? ended : AbortSignal.any([signal, ended]);
    try {
      await this.clock.waitUntil(atMs, either);
    } catch (error) {
      if (ended.aborted) await new Promise<never>(() => undefined);
      throw error;
    }
  }

  /** Ends every wait without resuming it. */
  end(): void {
    this.ended.abort();
  }
}
