import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { SwimMembership } from '@skylarkreach/core/membership';
import type { DaemonIdentity } from '@skylarkreach/core/ports';
import { SeededRandom } from '@skylarkreach/core/ports';

const SAMPLES = 5;

/** Creates daemon identities as the platform lists them. */
export function buildIdentities(
  daemons: number,
  dataCentres: number,
): readonly DaemonIdentity[] {
  return Array.from({ length: daemons }, (_, index) => ({
    id: `daemon-${index}`,
    dataCentre: `dc-${index % dataCentres}`,
    peerAddress: `10.${index >> 8}.${index & 255}.1:8082`,
    callerUrl: `http://10.${index >> 8}.${index & 255}.1:8080`,
  }));
}

/** Returns the heap bytes of one daemon's membership state after it has read a list of `daemons` identities. */
export function measureMembershipBytes(
  daemons: number,
  dataCentres: number,
  seed: number,
): number {
  const collect = garbageCollector();
  const listing = JSON.stringify(buildIdentities(daemons, dataCentres));
  collect();
  const before = process.memoryUsage().heapUsed;
  const memberships = Array.from({ length: SAMPLES }, (_, index) => {
    const identities = JSON.parse(listing) as DaemonIdentity[];
    const [self = { ...buildIdentities(1, 1)[0] } as DaemonIdentity] =
      identities;
    const swim = new SwimMembership(self, new SeededRandom(seed + index), 1);
    swim.applyListing(identities, 1);
    return swim;
  });
  collect();
  const growthBytes = process.memoryUsage().heapUsed - before;
  return memberships.length === 0 ? 0 : growthBytes / memberships.length;
}

function garbageCollector(): () => void {
  setFlagsFromString('--expose_gc');
  return runInNewContext('gc') as () => void;
}
