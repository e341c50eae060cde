import type { Clock } from '@skylarkreach/core/ports';
import { cancel } from '@skylarkreach/core/ports';

/** Interval of the times that the loops of a process share. */
const STEP_MS = 50;
/** Shortest wait that is shifted, by a quarter at most. */
const MIN_WAIT_MS = 100;

/** Wait for one time. */
interface SharedWait {
  /** What is called at that time. */
  readonly waiters: Set<() => void>;
  readonly timer: AbortController;
}

/** Waits of the loops of one process for times that they share. */
class CommonTimes {
  private readonly waits = new Map<number, SharedWait>();
  private readonly firstMs: number;

  constructor(private readonly clock: Clock) {
    this.firstMs = clock.nowMs();
  }

  /** Returns the shared time next to `atMs`. */
  nearestMs(atMs: number): number {
    const steps = Math.round((atMs - this.firstMs) / STEP_MS);
    return this.firstMs + steps * STEP_MS;
  }

  /** Resolves at a shared time, with one timer for all that wait for it, or once the signal is aborted. */
  wait(atMs: number, signal: AbortSignal): Promise<void> {
    const shared = this.sharedWait(atMs);
    const { waiters, timer } = shared;
    return new Promise(resolve => {
      const settle = () => {
        signal.removeEventListener('abort', settle);
        waiters.delete(settle);
        resolve();
        // A timer that nobody waits for would keep the process from ending.
        if (signal.aborted && waiters.size === 0) cancel(timer);
      };
      signal.addEventListener('abort', settle);
      waiters.add(settle);
      if (signal.aborted) settle();
    });
  }

  private sharedWait(atMs: number): SharedWait {
    const known = this.waits.get(atMs);
    if (known !== undefined) return known;
    const wait = {
      waiters: new Set<() => void>(),
      timer: new AbortController(),
    };
    this.waits.set(atMs, wait);
    const end = () => {
      this.waits.delete(atMs);
      for (const settle of [...wait.waiters]) settle();
    };
    void this.clock.waitUntil(atMs, wait.timer.signal).then(end, end);
    return wait;
  }
}

const timesByClock = new WeakMap<Clock, CommonTimes>();

/**
 * Resolves at about `atMs`, at a time that it shares with the other loops of the
 * process, or once the signal is aborted: waking up a process costs more than
 * most steps. Processes differ in their times, so that they do not all call the
 * store at once.
 */
export async function waitForCommonTime(
  clock: Clock,
  nowMs: number,
  atMs: number,
  signal: AbortSignal,
): Promise<void> {
  if (atMs - nowMs < MIN_WAIT_MS) {
    await clock.waitUntil(atMs, signal).catch(() => undefined);
    return;
  }
  let times = timesByClock.get(clock);
  if (times === undefined) {
    times = new CommonTimes(clock);
    timesByClock.set(clock, times);
  }
  await times.wait(times.nearestMs(atMs), signal);
}
