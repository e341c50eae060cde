import type { GatewaySettings } from '@skylarkreach/daemon';
import { PlacementRule } from '@skylarkreach/daemon';

/** Time after its start for which an endpoint of a soak is cold. */
export const COLD_START_S = 5;
const COLD_PER_S = 4;
const COLD_OVERAGE = 2;
const COLD_SLACK = 2;
/** Maximum requests in any second that a cold endpoint may get from all daemons. */
export const MAX_COLD_PER_S = COLD_PER_S * COLD_OVERAGE + COLD_SLACK;

/** Slots of an endpoint where the queue is enabled. */
const QUEUE_SLOTS = 2;

/** Parts of the settings in which soaks differ. */
export interface SoakSettings {
  readonly bounds?: Partial<GatewaySettings['bounds']>;
  readonly routing?: Partial<GatewaySettings['routing']>;
  readonly queue?: Partial<GatewaySettings['queue']>;
}

/** Configuration and settings of one soak. */
export interface SoakVariant {
  readonly settings: SoakSettings;
  /** Fields of all services in each configuration. */
  readonly services: Readonly<Record<string, unknown>>;
  /** Fields of all endpoints' entries in the store. */
  readonly entry: Readonly<Record<string, unknown>>;
  /** Load that all endpoints report: running, waiting, slots and slowdown in percent; none if absent. */
  readonly reportedLoad?: string;
}

/** Soak whose endpoints may be cold. */
export const COLD_VARIANT: SoakVariant = {
  settings: { bounds: { coldOverage: COLD_OVERAGE, coldSlack: COLD_SLACK } },
  services: { ColdStartS: COLD_START_S, ColdPerS: COLD_PER_S },
  entry: {},
};

/** Returns a soak with the queue enabled, and with so few slots that requests wait. */
export function withQueue({
  entry,
  services,
  settings,
}: SoakVariant): SoakVariant {
  return {
    services,
    settings: { ...settings, queue: { isEnabled: true } },
    entry: { ...entry, Slots: QUEUE_SLOTS },
  };
}

/** Returns a soak whose daemons place requests by work, which they learn from what endpoints report. */
export function withLeastWork(variant: SoakVariant): SoakVariant {
  const { settings } = variant;
  const routing = { ...settings.routing, placement: PlacementRule.LeastWork };
  return {
    ...variant,
    settings: { ...settings, routing },
    reportedLoad: '1,0,8,100',
  };
}
