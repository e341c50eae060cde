import type { Clock } from '@skylarkreach/core/ports';

/** Longest time without a write to an open stream. */
export const HEARTBEAT_INTERVAL_MS = 3_000;

/** Comment line of the server-sent events format; clients ignore it. */
const HEARTBEAT_COMMENT = ': heartbeat\n\n';

/** Writes heartbeats to an open stream while no events arrive, so that callers can detect an unresponsive connection. */
export class Heartbeat {
  private readonly stopController = new AbortController();
  private nextAtMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly write: (text: string) => void,
  ) {
    this.nextAtMs = clock.nowMs() + HEARTBEAT_INTERVAL_MS;
    void this.run();
  }

  /** Postpones the next heartbeat after an event was written. */
  recordWrite(): void {
    this.nextAtMs = this.clock.nowMs() + HEARTBEAT_INTERVAL_MS;
  }

  stop(): void {
    this.stopController.abort();
  }

  private async run(): Promise<void> {
    const { signal } = this.stopController;
    while (!signal.aborted) {
      await this.clock.waitUntil(this.nextAtMs, signal).catch(() => undefined);
      if (this.stopController.signal.aborted) return;
      if (this.clock.nowMs() < this.nextAtMs) continue;
      this.write(HEARTBEAT_COMMENT);
      this.recordWrite();
    }
  }
}
