import type { Log, LogComponent, Metrics } from '@skylarkreach/core/ports';

export function createMonitor(
  { log, metrics }: { readonly log: Log; readonly metrics: Metrics },
  name: string,
  part: LogComponent,
): DependencyMonitor {
  return new DependencyMonitor(name, part, log, metrics);
}

/**
 * Tracks whether an external dependency is available. Counts every failure and
 * logs only the transitions between available and unavailable.
 */
export class DependencyMonitor {
  private unavailableSinceMs: number | undefined;

  constructor(
    private readonly name: string,
    private readonly part: LogComponent,
    private readonly log: Log,
    private readonly metrics: Metrics,
  ) {}

  recordFailure(error: unknown, nowMs: number): void {
    const { name } = this;
    this.metrics.increment('dependency.failures', 1, { name });
    if (this.unavailableSinceMs !== undefined) return;
    this.unavailableSinceMs = nowMs;
    this.log.warn(this.part, 'A dependency is lost.', {
      name,
      error: String(error),
    });
  }

  recordSuccess(nowMs: number): void {
    if (this.unavailableSinceMs === undefined) return;
    const lostForMs = Math.round(nowMs - this.unavailableSinceMs);
    this.unavailableSinceMs = undefined;
    this.log.info(this.part, 'A dependency is back.', {
      name: this.name,
      lostForMs,
    });
  }
}
