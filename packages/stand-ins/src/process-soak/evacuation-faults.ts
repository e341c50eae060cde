import { setTimeout as delay } from 'node:timers/promises';

import type { GatewayDeployment, SoakPlan } from '../gateway/index.js';
import type { RecordAct } from './endpoint-faults.js';
import type { ProcessRun, SoakAct } from './loss-checks.js';
import { ActKind } from './loss-checks.js';

/** Data centres of a soak's endpoints. */
export const SOAK_DATA_CENTRES: readonly string[] = [
  'north-1',
  'north-2',
  'south-1',
];
/** Bound on the time until no request reaches an endpoint, as the users state it. */
const EVACUATION_MS = 5_000;
/** Time for which an evacuation is checked after the bound. */
const CHECKED_MS = 1_000;
const CHECKED_SPREAD_MS = 2_000;

export enum EvacuationFault {
  /** A data centre is evacuated for some seconds. */
  Evacuate = 'evacuate',
}

/** Evacuations that operators order during a soak; two of them may overlap. */
export class EvacuationFaults {
  private readonly ordered = new Set<string>();

  constructor(
    private readonly plan: SoakPlan,
    private readonly record: RecordAct,
    private readonly deployment: GatewayDeployment,
  ) {}

  async evacuate(): Promise<void> {
    const dataCentre = this.plan.pick(SOAK_DATA_CENTRES);
    if (this.ordered.has(dataCentre)) return;
    this.ordered.add(dataCentre);
    const { state } = this.deployment.store;
    const key = `op/evacuate/${dataCentre}`;
    state.put(key, '{}');
    const act = this.record(ActKind.Evacuate, dataCentre);
    const checkedMs = this.plan.nextMs(CHECKED_MS, CHECKED_SPREAD_MS);
    await delay(EVACUATION_MS + checkedMs);
    act.untilMs = performance.now();
    state.delete(key);
    this.ordered.delete(dataCentre);
  }
}

/** Returns a line for each request that reached an endpoint whose data centre was evacuated for longer than the bound. */
export function findEvacuatedRuns(
  runs: readonly ProcessRun[],
  acts: readonly SoakAct[],
  dataCentreOf: (endpointId: string) => string | undefined,
): readonly string[] {
  const evacuations = acts.filter(({ kind }) => kind === ActKind.Evacuate);
  return runs.flatMap(({ atMs, endpointId, requestId }) => {
    const evacuation = evacuations.find(
      ({ fromMs, subject, untilMs }) =>
        subject === dataCentreOf(endpointId) &&
        atMs > fromMs + EVACUATION_MS &&
        atMs < untilMs,
    );
    if (evacuation === undefined) return [];
    const { fromMs, subject } = evacuation;
    const lateMs = Math.round(atMs - fromMs);
    return [
      `${requestId} reached ${endpointId} ${lateMs} ms after the order to evacuate ${subject}`,
    ];
  });
}
