import type { DataCentre, Endpoint, ReclaimNotice } from '../ports/index.js';

/** Share of a data centre's known instances under notice from which the whole data centre counts as being reclaimed. */
const DATA_CENTRE_NOTICE_SHARE = 0.5;

/** Reclaim notices currently in force, as known to this process. */
export class ReclaimNoticeTracker {
  private readonly reclaimAtMsById = new Map<string, number>();

  /** Replaces the known notices by those currently in force. */
  replaceNotices(notices: readonly ReclaimNotice[]): void {
    this.reclaimAtMsById.clear();
    for (const { instanceId, reclaimAtMs } of notices) {
      this.reclaimAtMsById.set(instanceId, reclaimAtMs);
    }
  }

  /** Returns the time from which the instance may be reclaimed, or undefined where no notice is in force for it. */
  reclaimAtMs(instanceId: string | undefined): number | undefined {
    if (instanceId === undefined) return undefined;
    return this.reclaimAtMsById.get(instanceId);
  }

  /** Returns the data centres in which at least `DATA_CENTRE_NOTICE_SHARE` of the known instances are under notice. */
  dataCentresBeingReclaimed(
    known: readonly Pick<Endpoint, 'dataCentre' | 'instanceId'>[],
  ): ReadonlySet<DataCentre> {
    const counts = new Map<
      DataCentre,
      { total: number; underNotice: number }
    >();
    for (const { dataCentre, instanceId } of known) {
      const count = counts.get(dataCentre) ?? { total: 0, underNotice: 0 };
      count.total += 1;
      if (this.reclaimAtMsById.has(instanceId)) count.underNotice += 1;
      counts.set(dataCentre, count);
    }
    const affected = [...counts].filter(
      ([, { total, underNotice }]) =>
        underNotice >= total * DATA_CENTRE_NOTICE_SHARE,
    );
    return new Set(affected.map(([dataCentre]) => dataCentre));
  }
}
