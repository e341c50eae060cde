import { LoopDelayShedder } from '@skylarkreach/core/dispatch-queue';
import type { Clock, Log, Metrics, Random } from '@skylarkreach/core/ports';
import { LogComponent } from '@skylarkreach/core/ports';

import type { Poller } from '../loops/index.js';
import { LoopDelayTimer } from './loop-delay-timer.js';

export interface LoopDelayMeterDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly random: Random;
}

/** Measures by how much timers of this process are late. */
export class LoopDelayMeter {
  readonly shedder: LoopDelayShedder;
  readonly timer: Poller;

  constructor(private readonly deps: LoopDelayMeterDependencies) {
    this.shedder = new LoopDelayShedder(deps.random);
    this.timer = new LoopDelayTimer(deps.clock, delayMs => {
      this.record(delayMs);
    });
  }

  private record(delayMs: number): void {
    const { log, metrics } = this.deps;
    const hasChanged = this.shedder.recordDelay(delayMs);
    const { isShedding, standingDelayMs } = this.shedder;
    metrics.gauge('daemon.loopDelayMs', standingDelayMs);
    if (!hasChanged) return;
    log.warn(
      LogComponent.Daemon,
      isShedding
        ? 'This daemon is overloaded and refuses its least urgent requests.'
        : 'This daemon is no longer overloaded.',
      { loopDelayMs: Math.round(standingDelayMs) },
    );
  }
}
