import {
  LOOP_SAMPLE_INTERVAL_MS,
  LoopDelayShedder,
} from '@skylarkreach/core/dispatch-queue';
import type { Clock, Log, Metrics, Random } from '@skylarkreach/core/ports';
import { LogComponent } from '@skylarkreach/core/ports';

import type { Poller } from '../loops/index.js';

export interface LoopDelayMeterDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly random: Random;
}

/** Measures by how much timers of this process are late. */
export class LoopDelayMeter implements Poller {
  readonly shedder: LoopDelayShedder;
  private dueAtMs: number | undefined;

  constructor(private readonly deps: LoopDelayMeterDependencies) {
    this.shedder = new LoopDelayShedder(deps.random);
  }

  step(): Promise<void> {
    const { clock, log, metrics } = this.deps;
    if (this.dueAtMs === undefined) return Promise.resolve();
    const delayMs = Math.max(0, clock.nowMs() - this.dueAtMs);
    const hasChanged = this.shedder.recordDelay(delayMs);
    const { isShedding, standingDelayMs } = this.shedder;
    metrics.gauge('daemon.loopDelayMs', standingDelayMs);
    if (hasChanged) {
      log.warn(
        LogComponent.Daemon,
        isShedding
          ? 'This daemon is overloaded and refuses its least urgent requests.'
          : 'This daemon is no longer overloaded.',
        { loopDelayMs: Math.round(standingDelayMs) },
      );
    }
    return Promise.resolve();
  }

  nextAtMs(nowMs: number): number {
    this.dueAtMs = nowMs + LOOP_SAMPLE_INTERVAL_MS;
    return this.dueAtMs;
  }
}
