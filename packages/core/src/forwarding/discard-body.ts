import type { Clock } from '../ports/index.js';
import { cancel } from '../ports/index.js';

/** Maximum bytes of a refusal's body that are read so that its connection can be reused. */
const MAX_DISCARDED_BYTES = 65_536; // reading them costs less than a new connection
/** Maximum time for which a refusal's body is read. */
const MAX_DISCARD_MS = 20; // a few round trips; the caller waits for it

/** Reads a body that is not needed, as far as that is cheaper than a new connection. */
export async function discardBody(
  clock: Clock,
  body: AsyncIterable<Uint8Array>,
): Promise<void> {
  const timer = new AbortController();
  const timeout = clock
    .waitUntil(clock.nowMs() + MAX_DISCARD_MS, timer.signal)
    .catch(() => undefined); // the body ended first
  // A refusal holds whether or not its body is complete.
  const bodyEnd = readAll(body).catch(() => undefined);
  await Promise.race([bodyEnd, timeout]);
  cancel(timer);
}

async function readAll(body: AsyncIterable<Uint8Array>): Promise<void> {
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    if (bytes > MAX_DISCARDED_BYTES) return;
  }
}
