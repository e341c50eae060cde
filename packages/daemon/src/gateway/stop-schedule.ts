import type { DispatchWindow } from '@skylarkreach/core/forwarding';
import type { Clock } from '@skylarkreach/core/ports';

/** Time in which the load balancer detects that this daemon is not ready: two probes one second apart, plus the response to the last. */
const BALANCER_DETECTION_MS = 2_500;
/** Time before the end of the grace period at which responses still in progress are ended. */
const CUTOFF_MARGIN_MS = 1_000; // covers late timers on a busy instance and the stop of the loops

/** Times of a graceful stop. Before the stop every request may be sent. */
export class StopSchedule implements DispatchWindow {
  /** Time until which the load balancer may route requests to this daemon. */
  routedUntilMs = Infinity;
  /** Time at which responses still in progress are ended. */
  cutoffAtMs = Infinity;

  constructor(private readonly clock: Clock) {}

  /** Starts the stop now. */
  start(gracePeriodMs: number): void {
    const nowMs = this.clock.nowMs();
    this.routedUntilMs =
      nowMs + Math.min(BALANCER_DETECTION_MS, gracePeriodMs / 2);
    this.cutoffAtMs = nowMs + gracePeriodMs - CUTOFF_MARGIN_MS;
  }

  /** A request that the load balancer routed here is served even if its limit is later: most take less. */
  isOpenUntil(deadlineAtMs: number): boolean {
    return (
      deadlineAtMs <= this.cutoffAtMs ||
      this.clock.nowMs() <= this.routedUntilMs
    );
  }
}
