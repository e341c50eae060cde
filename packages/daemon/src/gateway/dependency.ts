import type { Log, LogPart, Metrics } from '@skylarkreach/core/ports';

/** Logs when something that this process depends on is lost and when it is back. */
export class Dependency {
  private lostAtMs: number | undefined;

  constructor(
    private readonly name: string,
    private readonly part: LogPart,
    private readonly log: Log,
    private readonly metrics: Metrics,
  ) {}

  failed(error: unknown, nowMs: number): void {
    const { name } = this;
    this.metrics.increment('dependency.failures', 1, { name });
    if (this.lostAtMs !== undefined) return;
    this.lostAtMs = nowMs;
    this.log.warn(this.part, 'A dependency is lost.', {
      name,
      error: String(error),
    });
  }

  answered(nowMs: number): void {
    if (this.lostAtMs === undefined) return;
    const lostForMs = Math.round(nowMs - this.lostAtMs);
    this.lostAtMs = undefined;
    this.log.info(this.part, 'A dependency is back.', {
      name: this.name,
      lostForMs,
    });
  }
}
