import type { KnownDaemons } from '../membership/index.js';

/** Time after which a daemon that has started or was held up knows the daemons that joined meanwhile, and they know it. */
const SETTLING_MS = 3_000; // membership spreads a join within about a second
/** Time between two steps from which a daemon was held up. */
const MAX_STEP_GAP_MS = 1_500; // three steps

/** Tells whether a daemon knows the others well enough to use its share of a limit. */
export class Settling {
  private settledAtMs = Infinity;
  private steppedAtMs = -Infinity;

  constructor(
    private readonly nowMs: () => number,
    private readonly daemons: KnownDaemons,
  ) {}

  /** To be called every half second. */
  step(): void {
    const nowMs = this.nowMs();
    const isKnown = this.daemons.ids().length > 0;
    const wasHeldUp = nowMs - this.steppedAtMs > MAX_STEP_GAP_MS;
    this.steppedAtMs = nowMs;
    if (!isKnown) this.settledAtMs = Infinity;
    else if (wasHeldUp || this.settledAtMs === Infinity)
      this.settledAtMs = nowMs + SETTLING_MS;
  }

  /** Returns the milliseconds until this daemon may use its share: 0 if it may now. */
  waitMs(): number {
    const nowMs = this.nowMs();
    const isHeldUp = nowMs - this.steppedAtMs > MAX_STEP_GAP_MS;
    if (isHeldUp || this.settledAtMs === Infinity) return SETTLING_MS;
    return Math.max(0, this.settledAtMs - nowMs);
  }
}
