import type { Evacuations } from '../evacuations/index.js';
import type { DataCentre } from '../ports/index.js';
import type { EndpointRecord } from './endpoint-record.js';
import { ForwardError, ForwardErrorKind } from './forward-error.js';
import type { Region, RequestHomes } from './home-regions.js';
import { RegionMap } from './home-regions.js';

/** Why no data centre may serve a request, whatever the load there. */
export enum DataCentreBarrier {
  /** All data centres with endpoints that might serve it are evacuated. */
  Evacuated = 'evacuated',
  /** Its group has no endpoint in its home regions. */
  NoHomeRegion = 'noHomeRegion',
}

export interface DataCentreGateOptions {
  /** Data centre of this daemon, and the region of each data centre that has one. */
  readonly identity: {
    readonly dataCentre: DataCentre;
    readonly regions: Readonly<Record<DataCentre, Region>>;
  };
  readonly evacuations: Pick<Evacuations, 'dataCentres' | 'isEvacuated'>;
  readonly endpoints: () => readonly EndpointRecord[];
}

/**
 * Retry delay while no data centre may serve a request: how long that lasts is up
 * to the operators, and daemons learn of an end within a fraction of a second.
 */
const RETRY_MS = 1_000;

/** Decides which data centres may serve a request. */
export class DataCentreGate {
  private readonly regions: RegionMap;

  constructor(private readonly options: DataCentreGateOptions) {
    const { dataCentre, regions } = options.identity;
    this.regions = new RegionMap(dataCentre, regions);
  }

  /** Returns where a request with these home regions may go; undefined if it has none. */
  homesOf(regions: readonly Region[] | undefined): RequestHomes | undefined {
    return this.regions.homesOf(regions);
  }

  /**
   * Returns why no data centre may serve a request of a group; undefined if one
   * may, or no endpoint of the group is known.
   */
  findBarrier(
    group: string,
    homes: RequestHomes | undefined,
  ): DataCentreBarrier | undefined {
    const { endpoints, evacuations } = this.options;
    if (homes === undefined && evacuations.dataCentres.length === 0)
      return undefined;
    const inGroup = endpoints().filter(each => each.group === group);
    if (inGroup.length === 0) return undefined;
    const inHomes = inGroup.filter(
      each => homes?.endpointDataCentres.has(each.dataCentre) !== false,
    );
    if (inHomes.length === 0) return DataCentreBarrier.NoHomeRegion;
    return inHomes.every(each => evacuations.isEvacuated(each.dataCentre))
      ? DataCentreBarrier.Evacuated
      : undefined;
  }
}

/** Returns the error by which a request is refused that no data centre may serve. */
export function dataCentreBarrierError(
  barrier: DataCentreBarrier,
  group: string,
): ForwardError {
  return barrier === DataCentreBarrier.Evacuated
    ? new ForwardError(
        ForwardErrorKind.Evacuated,
        `All data centres that may serve the request from group ${group} are evacuated; send it again later.`,
        RETRY_MS,
      )
    : new ForwardError(
        ForwardErrorKind.NoHomeRegion,
        `Group ${group} has no endpoint in the regions that the route and the workspace allow; send the request again later.`,
        RETRY_MS,
      );
}
