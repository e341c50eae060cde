import { once } from 'node:events';
import type { ServerResponse } from 'node:http';

import type { Clock } from '@skylarkreach/core/ports';

/** Time for which a caller may leave a full buffer unread; a stop of the daemon waits for its stream no longer. */
const UNREAD_TIMEOUT_MS = 30_000; // the longest time of a stop that the platform has not asked for

/**
 * Writes to a response, and waits until its buffer has room again. Closes the
 * connection of a caller that does not read. Throws once the signal is aborted, as
 * it is when the connection closes.
 */
export async function writeToCaller(
  response: ServerResponse,
  text: string,
  clock: Clock,
  signal: AbortSignal,
): Promise<void> {
  signal.throwIfAborted();
  if (response.write(text)) return;
  const timer = new AbortController();
  clock.waitUntil(clock.nowMs() + UNREAD_TIMEOUT_MS, timer.signal).then(
    () => response.destroy(),
    () => undefined, // the caller has read
  );
  try {
    await once(response, 'drain', { signal });
  } finally {
    timer.abort();
  }
}
