import type { Clock } from '@skylarkreach/core/ports';

const WINDOW_MS = 60_000;
const MS_PER_SECOND = 1_000;

interface CountWindow {
  startedAtMs: number;
  readonly counts: Map<string, number>;
}

/** Measures the request rate of each kind of a group at this daemon, over the newest complete window. */
export class KindRateMeter {
  private readonly windows = new Map<string, CountWindow>();
  private readonly completedRates = new Map<
    string,
    ReadonlyMap<string, number>
  >();

  constructor(private readonly clock: Clock) {}

  /** Counts one request of a kind. */
  recordRequest(group: string, kind: string): void {
    const window = this.openWindow(group);
    window.counts.set(kind, (window.counts.get(kind) ?? 0) + 1);
  }

  /**
   * Returns the estimated requests per second of each kind over all daemons,
   * assuming that every daemon has the rate measured here. Until a window is
   * complete, the current one is used.
   */
  estimateClusterRates(
    group: string,
    daemonCount: number,
  ): ReadonlyMap<string, number> {
    const rates = this.completedRates.get(group) ?? this.currentRates(group);
    return new Map(
      [...rates].map(([kind, rate]) => [kind, rate * daemonCount]),
    );
  }

  private openWindow(group: string): CountWindow {
    const nowMs = this.clock.nowMs();
    let window = this.windows.get(group);
    if (window !== undefined && nowMs >= window.startedAtMs + WINDOW_MS) {
      this.completedRates.set(group, this.currentRates(group));
      window = undefined;
    }
    if (window === undefined) {
      window = { startedAtMs: nowMs, counts: new Map() };
      this.windows.set(group, window);
    }
    return window;
  }

  private currentRates(group: string): ReadonlyMap<string, number> {
    const window = this.windows.get(group);
    if (window === undefined) return new Map();
    const elapsedMs = this.clock.nowMs() - window.startedAtMs;
    const seconds = Math.max(1, elapsedMs / MS_PER_SECOND);
    return new Map(
      [...window.counts].map(([kind, count]) => [kind, count / seconds]),
    );
  }
}
