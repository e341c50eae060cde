import { SlidingWindowMax } from '@skylarkreach/core/duties';
import { FirstEventCounts } from '@skylarkreach/core/first-events';
import { LogComponent } from '@skylarkreach/core/ports';

import type { Loop } from '../loops/index.js';
import { createPollerLoop } from '../loops/index.js';
import type { GatewayContext } from './gateway-context.js';
import { LoopDelayTimer } from './loop-delay-timer.js';

/** Time for which a late turn of the event loop counts as a delay of the responses that arrive. */
const LOOP_DELAY_WINDOW_MS = 1_000; // about the time in which a first event is due

/** Creates what counts first events in time, with its loops; without both where the settings do not enable it. */
export function createFirstEvents(context: GatewayContext): {
  readonly firstEvents?: FirstEventCounts;
  readonly firstEventLoops: readonly Loop[];
} {
  const { clock, metrics, settings } = context;
  if (!settings.fleet.learnsCapacity) return { firstEventLoops: [] };
  const nowMs = () => clock.nowMs();
  const loopDelays = new SlidingWindowMax(LOOP_DELAY_WINDOW_MS);
  const timer = new LoopDelayTimer(clock, delayMs => {
    loopDelays.add(delayMs, nowMs());
  });
  return {
    firstEvents: new FirstEventCounts({
      nowMs,
      metrics,
      loopDelayMs: () => loopDelays.max(nowMs()),
    }),
    firstEventLoops: [
      createPollerLoop(context, LogComponent.Daemon, 'loopLag', timer),
    ],
  };
}
