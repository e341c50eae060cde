import type { Clock } from '@skylarkreach/core/ports';

/**
 * Clock of one simulated process of a deployment. Waits never settle after the
 * process is killed, so that its code does not resume.
 */
export class ProcessClock implements Clock {
  private readonly killController = new AbortController();

  constructor(private readonly clock: Clock) {}

  nowMs(): number {
    return this.clock.nowMs();
  }

  async waitUntil(atMs: number, signal?: AbortSignal): Promise<void> {
    const { signal: killSignal } = this.killController;
    const combinedSignal =
      signal === undefined ? killSignal : AbortSignal.any([signal, killSignal]);
    try {
      await this.clock.waitUntil(atMs, combinedSignal);
    } catch (error) {
      if (killSignal.aborted) await new Promise<never>(() => undefined);
      throw error;
    }
  }

  /** Cancels every wait and leaves its promise pending. */
  kill(): void {
    this.killController.abort();
  }
}
