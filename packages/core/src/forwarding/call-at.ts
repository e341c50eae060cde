import type { Clock } from '../ports/index.js';

/** Calls back at a time. Aborting the returned controller cancels the call. */
export function callAt(
  clock: Clock,
  atMs: number,
  callback: () => void,
): AbortController {
  const cancellation = new AbortController();
  clock.waitUntil(atMs, cancellation.signal).then(
    callback,
    () => undefined, // cancelled
  );
  return cancellation;
}
