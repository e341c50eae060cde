import { createHash } from 'node:crypto';

import type { DaemonIdentity } from '../ports/index.js';

/** Uniform 32-bit hash of a text. */
export function hash32(text: string): number {
  return createHash('sha256').update(text).digest().readUInt32BE(0);
}

/** Score of a daemon for a purpose; highest random weight (Thaler and Ravishankar, 1998). */
export function rendezvousScore(purpose: string, daemonId: string): number {
  return hash32(`${purpose}/${daemonId}`);
}

/** Orders daemons by falling score; every process that knows the same daemons agrees. */
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
    .map(each => each.daemon);
}
