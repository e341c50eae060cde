import type { DataCentre, Endpoint, ReclaimNotice } from '../ports/index.js';

/** Share of a data centre's known instances under notice from which all of it counts as doomed. */
const DOOMED_SHARE = 0.5;

/** Reclaim notices in force, as this process knows them. */
export class ReclaimBoard {
  private readonly reclaimAtMsById = new Map<string, number>();

  /** Takes the notices in force; one that is no longer listed is forgotten. */
  apply(notices: readonly ReclaimNotice[]): void {
    this.reclaimAtMsById.clear();
    for (const { instanceId, reclaimAtMs } of notices) {
      this.reclaimAtMsById.set(instanceId, reclaimAtMs);
    }
  }

  /** Time from which the instance may be taken; undefined where none is announced. */
  reclaimAtMs(instanceId: string | undefined): number | undefined {
    if (instanceId === undefined) return undefined;
    return this.reclaimAtMsById.get(instanceId);
  }

  /** Data centres of which at least half of the known instances are under notice. */
  doomedDataCentres(
    known: readonly Pick<Endpoint, 'dataCentre' | 'instanceId'>[],
  ): ReadonlySet<DataCentre> {
    const counts = new Map<DataCentre, { all: number; leaving: number }>();
    for (const { dataCentre, instanceId } of known) {
      const count = counts.get(dataCentre) ?? { all: 0, leaving: 0 };
      count.all += 1;
      if (this.reclaimAtMsById.has(instanceId)) count.leaving += 1;
      counts.set(dataCentre, count);
    }
    const doomed = [...counts].filter(
      ([, { all, leaving }]) => leaving >= all * DOOMED_SHARE,
    );
    return new Set(doomed.map(([dataCentre]) => dataCentre));
  }
}
