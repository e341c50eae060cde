import type { IdleTimerDependencies } from './idle-timer.js';

/**
 * Calls back at a time, after what has arrived by then was read. Aborting the
 * returned controller cancels the call.
 */
export function callAt(
  { clock, nextPoll }: IdleTimerDependencies,
  atMs: number,
  callback: () => void,
): AbortController {
  const cancellation = new AbortController();
  const { signal } = cancellation;
  const call = () => {
    if (!signal.aborted) callback();
  };
  const ignore = () => undefined; // cancelled before its time
  clock.waitUntil(atMs, signal).then(nextPoll).then(call, ignore);
  return cancellation;
}
