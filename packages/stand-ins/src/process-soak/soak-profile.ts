import { ColdFault } from './cold-faults.js';
import { CrowdFault } from './crowd-faults.js';
import { DaemonFault } from './daemon-faults.js';
import { EndpointFault } from './endpoint-faults.js';
import { EvacuationFault } from './evacuation-faults.js';
import type { SoakVariant } from './soak-variant.js';
import { COLD_VARIANT, withLeastWork, withQueue } from './soak-variant.js';
import { StoreFault } from './store-faults.js';

export type ProcessFault =
  | ColdFault
  | CrowdFault
  | DaemonFault
  | EndpointFault
  | EvacuationFault
  | StoreFault;

/** What a soak plays beside planned work. */
export enum SoakProfile {
  /** Kills, freezes, cut links and failures too, which excuse most losses. */
  All = 'all',
  /** Trouble of the store alone, which excuses no loss. */
  Store = 'store',
  /** Silences of sound endpoints alone, which excuse no loss either. */
  Silence = 'silence',
  /** Evacuations beside kills of daemons and trouble of their links to the store. */
  Evacuations = 'evacuations',
  /** Endpoints that start cold or become cold again, beside kills and freezes of daemons. */
  Cold = 'cold',
  /** Crowds of callers outside the limits, beside ordinary callers, planned work and kills of daemons. */
  Crowd = 'crowd',
}

const PLANNED_WORK: readonly ProcessFault[] = [
  DaemonFault.Stop,
  DaemonFault.StopHeldUp,
  DaemonFault.Reload,
  DaemonFault.Configure,
  DaemonFault.ConfigureQuickly,
  DaemonFault.GrowConfiguration,
];
/** Endpoint faults that are no more than silences. */
const SILENCES: readonly EndpointFault[] = [
  EndpointFault.Silence,
  EndpointFault.GroupSilence,
];

/** Faults to pick from; those that are listed more than once come more often. */
export const FAULTS_BY_PROFILE: Readonly<
  Record<SoakProfile, readonly ProcessFault[]>
> = {
  [SoakProfile.All]: [
    ...Object.values(DaemonFault),
    ...Object.values(EndpointFault).filter(each => !SILENCES.includes(each)),
    DaemonFault.Stop,
    DaemonFault.StopHeldUp,
    DaemonFault.Configure,
    DaemonFault.ConfigureQuickly,
  ],
  [SoakProfile.Store]: [
    ...PLANNED_WORK,
    ...Object.values(StoreFault),
    StoreFault.Calls,
    DaemonFault.StoreLink,
    DaemonFault.StoreLink,
    DaemonFault.Stop,
  ],
  [SoakProfile.Silence]: [
    ...PLANNED_WORK,
    ...SILENCES,
    ...SILENCES,
    DaemonFault.Stop,
  ],
  [SoakProfile.Evacuations]: [
    ...PLANNED_WORK,
    DaemonFault.Kill,
    DaemonFault.StoreLink,
    EvacuationFault.Evacuate,
    EvacuationFault.Evacuate,
    EvacuationFault.Evacuate,
    EvacuationFault.Evacuate,
  ],
  [SoakProfile.Cold]: [
    ...PLANNED_WORK,
    DaemonFault.Kill,
    DaemonFault.Freeze,
    DaemonFault.StoreLink,
    EndpointFault.ResetLink,
    EndpointFault.Drain,
    EndpointFault.End,
    EndpointFault.Move,
    EndpointFault.SayLeaving,
    ColdFault.BecomeCold,
    ColdFault.BecomeCold,
  ],
  [SoakProfile.Crowd]: [
    ...PLANNED_WORK,
    DaemonFault.Kill,
    DaemonFault.StoreLink,
    EndpointFault.Drain,
    ...Object.values(CrowdFault),
    ...Object.values(CrowdFault),
  ],
};

/** Seeds are taken modulo this number to choose the settings. */
const SEED_MODULUS = 9;
/** No seed that KNOWN-RED.txt records has these remainders, so that all keep the settings of their runs. */
const QUEUE_REMAINDERS: readonly number[] = [2, 7];

/** None of those either. */
const LEAST_WORK_REMAINDERS: readonly number[] = [5];

export function hasQueue(seed: number): boolean {
  return QUEUE_REMAINDERS.includes(seed % SEED_MODULUS);
}

/** Returns the configuration and the settings of a soak. */
export function variantOf(profile: SoakProfile, seed: number): SoakVariant {
  const variant =
    profile === SoakProfile.Cold
      ? COLD_VARIANT
      : { settings: {}, services: {}, entry: {} };
  if (LEAST_WORK_REMAINDERS.includes(seed % SEED_MODULUS))
    return withLeastWork(variant);
  return hasQueue(seed) ? withQueue(variant) : variant;
}
