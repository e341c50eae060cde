import type { Clock } from '@skylarkreach/core/ports';

const WINDOW_MS = 60_000;
const MS_PER_SECOND = 1_000;

interface Window {
  startedAtMs: number;
  readonly counts: Map<string, number>;
}

/** Rate of each kind of a group at this daemon, over the newest whole window. */
export class KindRateMeter {
  private readonly byGroup = new Map<string, Window>();
  private readonly measured = new Map<string, ReadonlyMap<string, number>>();

  constructor(private readonly clock: Clock) {}

  count(group: string, kind: string): void {
    const window = this.windowOf(group);
    window.counts.set(kind, (window.counts.get(kind) ?? 0) + 1);
  }

  /** Requests of each kind a second over all daemons, taking them to be alike. */
  ratesOf(group: string, daemons: number): ReadonlyMap<string, number> {
    const rates = this.measured.get(group) ?? this.currentRates(group);
    return new Map([...rates].map(([kind, rate]) => [kind, rate * daemons]));
  }

  private windowOf(group: string): Window {
    const nowMs = this.clock.nowMs();
    let window = this.byGroup.get(group);
    if (window !== undefined && nowMs >= window.startedAtMs + WINDOW_MS) {
      this.measured.set(group, this.currentRates(group));
      window = undefined;
    }
    if (window === undefined) {
      window = { startedAtMs: nowMs, counts: new Map() };
      this.byGroup.set(group, window);
    }
    return window;
  }

  private currentRates(group: string): ReadonlyMap<string, number> {
    const window = this.byGroup.get(group);
    if (window === undefined) return new Map();
    const elapsedMs = this.clock.nowMs() - window.startedAtMs;
    const seconds = Math.max(1, elapsedMs / MS_PER_SECOND);
    return new Map(
      [...window.counts].map(([kind, count]) => [kind, count / seconds]),
    );
  }
}
