import type { DaemonShedder, SheddableRequest } from '../forwarding/index.js';
import type { Random } from '../ports/index.js';
import { spreadReturnMs } from './return-time.js';

/** Interval at which the delay of the event loop is sampled. */
export const LOOP_SAMPLE_INTERVAL_MS = 100; // ten timers a second cost next to nothing
/** Number of samples whose least is the standing delay, as in CoDel (Nichols and Jacobson, 2012): a single pause is no overload. */
const STANDING_SAMPLES = 3;
/** Standing delay from which the daemon sheds requests. */
const MAX_DELAY_MS = 50; // four turns of the loop then pass the shortest latency objectives
/** Turns of the loop from the head of a request to its response: head, body, dispatch, response. */
const TURNS = 4;
/** Priority number from which none is shed. */
const NO_PRIORITY = 10; // engines know 0 to 9

/**
 * Sheds requests while this process itself is too slow, by the standing delay of
 * its event loop: those that it cannot forward by their deadline, and the least
 * urgent ones, one more priority with each sample of overload and one less with
 * each other. Meant for daemons with a fraction of a core.
 */
export class LoopDelayShedder implements DaemonShedder {
  private samplesMs: readonly number[] = [];
  /** Requests of this priority number and above are shed. */
  private shedFrom = NO_PRIORITY;
  private leastUrgent = 0;

  constructor(private readonly random: Random) {}

  /** Least delay of the latest samples. */
  get standingDelayMs(): number {
    return this.samplesMs.length < STANDING_SAMPLES
      ? 0
      : Math.min(...this.samplesMs);
  }

  /** Records by how much a timer was late. Returns whether shedding began or ended. */
  recordDelay(delayMs: number): boolean {
    const wasShedding = this.isShedding;
    this.samplesMs = [...this.samplesMs, delayMs].slice(-STANDING_SAMPLES);
    this.shedFrom =
      this.standingDelayMs > MAX_DELAY_MS
        ? Math.max(1, Math.min(this.shedFrom, this.leastUrgent + 1) - 1)
        : Math.min(NO_PRIORITY, this.shedFrom + 1);
    return this.isShedding !== wasShedding;
  }

  /** Whether requests of some priority are shed. */
  get isShedding(): boolean {
    return this.shedFrom <= this.leastUrgent;
  }

  /** Least priority number that is shed now; undefined if none is. */
  get shedsFrom(): number | undefined {
    return this.isShedding ? this.shedFrom : undefined;
  }

  refusedForMs(
    { deadlineAtMs, priority }: SheddableRequest,
    nowMs: number,
  ): number | undefined {
    this.leastUrgent = Math.max(
      this.leastUrgent,
      Math.min(priority, NO_PRIORITY - 1),
    );
    const forwardMs = this.standingDelayMs * TURNS;
    const isLate = nowMs + forwardMs > deadlineAtMs;
    if (!isLate && Math.min(priority, NO_PRIORITY - 1) < this.shedFrom)
      return undefined;
    return spreadReturnMs(forwardMs, deadlineAtMs - nowMs, this.random);
  }
}
