import { createHash } from 'node:crypto';

import type { DaemonIdentity } from '../ports/index.js';

/** Returns a uniformly distributed unsigned 32-bit hash of a text. */
export function hash32(text: string): number {
  return createHash('sha256').update(text).digest().readUInt32BE(0);
}

/**
 * Returns the score of a daemon for a purpose. Source: highest random weight
 * (Thaler and Ravishankar, 1998).
 */
export function rendezvousScore(purpose: string, daemonId: string): number {
  return hash32(`${purpose}/${daemonId}`);
}

/**
 * Returns the daemons by descending score. Processes that know the same daemons
 * compute the same order.
 */
export function rankDaemons(
  purpose: string,
  daemons: readonly DaemonIdentity[],
): readonly DaemonIdentity[] {
  return daemons
    .map(daemon => ({ daemon, score: rendezvousScore(purpose, daemon.id) }))
    .sort(
      (left, right) =>
        right.score - left.score || (left.daemon.id < right.daemon.id ? -1 : 1),
    )
    .map(scored => scored.daemon);
}
