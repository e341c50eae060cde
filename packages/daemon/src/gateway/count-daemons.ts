import type { KnownDaemons } from '@skylarkreach/core/membership';
import { MIN_DAEMONS_FOR_CELLS } from '@skylarkreach/core/membership';

/** What a daemon knows of the others. */
export interface DaemonCounts {
  /** Live daemons that this one hears of, itself included. */
  readonly cluster: { readonly size: number };
  readonly knownDaemons: Pick<KnownDaemons, 'ids'>;
}

/** Returns the number of live daemons, or of all that are known where this daemon hears of no other one or of a part of them only. */
export function countDaemons({ cluster, knownDaemons }: DaemonCounts): number {
  const knownCount = knownDaemons.ids().length;
  const hearsOfAll = cluster.size > 1 && knownCount < MIN_DAEMONS_FOR_CELLS;
  return hearsOfAll ? cluster.size : knownCount;
}
