import type { Clock } from '@skylarkreach/core/ports';

/** Longest time in which nothing is written to an open stream. */
export const HEARTBEAT_INTERVAL_MS = 3_000;

/** A comment in the form of server-sent events, which clients ignore. */
const HEARTBEAT = ': heartbeat\n\n';

/** Writes to an open stream while its answer waits, so that callers can tell a silent connection. */
export class Heartbeat {
  private readonly end = new AbortController();
  private nextAtMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly write: (text: string) => void,
  ) {
    this.nextAtMs = clock.nowMs() + HEARTBEAT_INTERVAL_MS;
    void this.run();
  }

  /** Puts the next heartbeat off, because an event was written. */
  recordWrite(): void {
    this.nextAtMs = this.clock.nowMs() + HEARTBEAT_INTERVAL_MS;
  }

  stop(): void {
    this.end.abort();
  }

  private async run(): Promise<void> {
    const { signal } = this.end;
    while (!signal.aborted) {
      await this.clock.waitUntil(this.nextAtMs, signal).catch(() => undefined);
      if (this.end.signal.aborted) return;
      if (this.clock.nowMs() < this.nextAtMs) continue;
      this.write(HEARTBEAT);
      this.recordWrite();
    }
  }
}
