import type { DataCentre } from '../ports/index.js';

/** Region that a data centre is in, as the settings name it. */
export type Region = string;

/** Data centres that may take part in serving a request with home regions. */
export interface RequestHomes {
  /** Data centres of the endpoints that the request may reach. */
  readonly endpointDataCentres: ReadonlySet<DataCentre>;
  /** Data centres of the daemons that its body may be sent to. */
  readonly daemonDataCentres: ReadonlySet<DataCentre>;
}

/** Returns the regions that both restrictions allow; undefined if there is none, since an empty list restricts nothing. */
export function combineHomeRegions(
  first: readonly Region[] | undefined,
  second: readonly Region[] | undefined,
): readonly Region[] | undefined {
  const restrictions = [first, second].filter(
    each => each !== undefined && each.length > 0,
  );
  const [one, other] = restrictions;
  if (other === undefined) return one;
  return one?.filter(region => other.includes(region));
}

/** Returns whether home regions include all others; undefined stands for no restriction. */
export function includesAll(
  regions: readonly Region[] | undefined,
  others: readonly Region[] | undefined,
): boolean {
  if (regions === undefined) return true;
  return others?.every(region => regions.includes(region)) === true;
}

/** Regions of the data centres, as one daemon's settings have them. */
export class RegionMap {
  constructor(
    /** Data centre of this daemon. */
    private readonly ownDataCentre: DataCentre,
    private readonly regionByDataCentre: Readonly<Record<DataCentre, Region>>,
  ) {}

  /** Returns where a request with these home regions may go; undefined if it has none. */
  homesOf(regions: readonly Region[] | undefined): RequestHomes | undefined {
    if (regions === undefined) return undefined;
    const homes = this.dataCentresIn(regions);
    const ownRegion = this.regionByDataCentre[this.ownDataCentre];
    const own = ownRegion === undefined ? [] : this.dataCentresIn([ownRegion]);
    return {
      endpointDataCentres: new Set(homes),
      daemonDataCentres: new Set([...homes, ...own, this.ownDataCentre]),
    };
  }

  private dataCentresIn(regions: readonly Region[]): readonly DataCentre[] {
    return Object.entries(this.regionByDataCentre)
      .filter(([, region]) => regions.includes(region))
      .map(([dataCentre]) => dataCentre);
  }
}
