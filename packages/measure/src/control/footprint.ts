import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { SwimMembership } from '@skylarkreach/core/membership';
import type { DaemonIdentity } from '@skylarkreach/core/ports';
import { SeededRandom } from '@skylarkreach/core/ports';

const INSTANCES = 5;

/** Identities as the platform lists them. */
export function listedDaemons(
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

/** Heap bytes of one daemon's membership that has read a list of `daemons`. */
export function measureMembershipBytes(
  daemons: number,
  dataCentres: number,
  seed: number,
): number {
  const collect = garbageCollector();
  const list = JSON.stringify(listedDaemons(daemons, dataCentres));
  collect();
  const before = process.memoryUsage().heapUsed;
  const held = Array.from({ length: INSTANCES }, (_, index) => {
    const identities = JSON.parse(list) as DaemonIdentity[];
    const [self = { ...listedDaemons(1, 1)[0] } as DaemonIdentity] = identities;
    const swim = new SwimMembership(self, new SeededRandom(seed + index), 1);
    swim.applyListing(identities, 1);
    return swim;
  });
  collect();
  const grown = process.memoryUsage().heapUsed - before;
  return held.length === 0 ? 0 : grown / held.length;
}

function garbageCollector(): () => void {
  setFlagsFromString('--expose_gc');
  return runInNewContext('gc') as () => void;
}
