import type { FleetManagerOptions } from '@skylarkreach/core/fleet';
import { FleetManager, SpreadFleetPlanner } from '@skylarkreach/core/fleet';
import { LeaseKeeper } from '@skylarkreach/core/leases';
import type {
  Clock,
  Cloud,
  Engine,
  KeyValue,
  Log,
  Metrics,
  StateSource,
} from '@skylarkreach/core/ports';
import { EndpointStage, LogPart } from '@skylarkreach/core/ports';
import type { Router } from '@skylarkreach/core/routing';
import { LeavingSource } from '@skylarkreach/core/routing';

import { Loop } from '../loops/index.js';
import type { FleetSettings, Settings } from '../settings/index.js';
import { LoadDemand } from './load-demand.js';

const STEP_INTERVAL_MS = 2_000;
const CALL_TIMEOUT_MS = 2_000;
const GRANT_MS = 10_000;
const MARGIN_MS = 1_000;
const VERIFY_INTERVAL_MS = 60_000;

/** What the fleets of a daemon need from its other parts. */
export interface FleetLoopParts {
  readonly clock: Clock;
  readonly cloud: Cloud;
  readonly engine: Engine;
  readonly keyValue: KeyValue;
  readonly router: Router;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Loops and state of the fleets; both are empty where the settings name none. */
export interface FleetWiring {
  readonly loops: readonly Loop[];
  readonly sources: readonly StateSource[];
}

/** Builds the loops that run the fleets of the settings by lease. */
export function wireFleet(
  settings: Settings,
  parts: FleetLoopParts,
): FleetWiring {
  const holder = `${settings.identity.daemonId}-${parts.clock.nowMs()}`;
  const managers = settings.fleet.map(fleet =>
    createManager(fleet, parts, holder),
  );
  if (managers.length === 0) return { loops: [], sources: [] };
  return {
    loops: managers.flatMap(manager => createLoops(manager, parts)),
    sources: [
      {
        name: 'fleet',
        dumpState: () => managers.map(manager => manager.state()),
      },
    ],
  };
}

function createManager(
  fleet: FleetSettings,
  parts: FleetLoopParts,
  holder: string,
): FleetManager {
  const { clock, engine, keyValue, router } = parts;
  const keeper = new LeaseKeeper(keyValue, clock, {
    name: `fleet/${fleet.name}`,
    holder,
    grantMs: GRANT_MS,
    marginMs: MARGIN_MS,
  });
  return new FleetManager(
    {
      ...parts,
      leaseKeeper: keeper,
      planner: new SpreadFleetPlanner(fleet),
      demand: new LoadDemand(fleet.group, engine, router),
      requirements: { endpointRequirements: () => fleet.loads },
    },
    managerOptions(fleet),
  );
}

function managerOptions(fleet: FleetSettings): FleetManagerOptions {
  return {
    policy: fleet,
    grantMs: GRANT_MS,
    marginMs: MARGIN_MS,
    callTimeoutMs: CALL_TIMEOUT_MS,
    storeBytesPerSecond: fleet.storeBytesPerSecond,
    orderRunnerOptions: {
      fleet: fleet.name,
      fencingCheck: fleet.fencing,
      effectTimeoutMs: fleet.effectTimeoutMs,
      verifyIntervalMs: VERIFY_INTERVAL_MS,
    },
  };
}

function createLoops(
  manager: FleetManager,
  parts: FleetLoopParts,
): readonly Loop[] {
  const { clock, log } = parts;
  const part = LogPart.Fleet;
  const renewal = {
    name: 'fleet lease',
    part,
    nextAtMs: () => manager.nextRenewalAtMs(),
    step: () => manager.renew(),
  };
  const planning = {
    name: 'fleet',
    part,
    nextAtMs: (nowMs: number) => nowMs + STEP_INTERVAL_MS,
    step: async () => {
      await manager.runRound();
      markLeaving(manager, parts);
    },
  };
  return [new Loop(renewal, clock, log), new Loop(planning, clock, log)];
}

/** Keeps new work from endpoints whose instances the plan drains. */
function markLeaving(manager: FleetManager, parts: FleetLoopParts): void {
  const { clock, router } = parts;
  const leaving = manager.leavingInstanceIds();
  for (const { address, instanceId, stage } of router.endpoints()) {
    const isKnown =
      stage === EndpointStage.Leaving || stage === EndpointStage.Gone;
    if (isKnown || !leaving.has(instanceId)) continue;
    router.markLeaving(address, LeavingSource.Peer, clock.nowMs());
  }
}
