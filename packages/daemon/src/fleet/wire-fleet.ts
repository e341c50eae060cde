import type { FleetManagerOptions } from '@skylarkreach/core/fleet';
import { FleetManager, SpreadFleetPlanner } from '@skylarkreach/core/fleet';
import { LeaseKeeper } from '@skylarkreach/core/leases';
import type {
  Clock,
  CloudClient,
  EngineClient,
  KeyValueStore,
  Log,
  Metrics,
  StateSource,
} from '@skylarkreach/core/ports';
import { EndpointStage, LogComponent } from '@skylarkreach/core/ports';
import type { Router } from '@skylarkreach/core/routing';
import { LeavingSource } from '@skylarkreach/core/routing';

import { Loop } from '../loops/index.js';
import type { FleetSettings, Settings } from '../settings/index.js';
import { LoadDemand } from './load-demand.js';

const PLANNING_INTERVAL_MS = 2_000;
const CALL_TIMEOUT_MS = 2_000;
const LEASE_DURATION_MS = 10_000;
const LEASE_MARGIN_MS = 1_000;
const VERIFY_INTERVAL_MS = 60_000;

/** Dependencies of the fleet managers and their loops. */
export interface FleetDependencies {
  readonly clock: Clock;
  readonly cloud: CloudClient;
  readonly engine: EngineClient;
  readonly keyValue: KeyValueStore;
  readonly router: Router;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Loops and state sources of the fleets; both are empty if the settings define no fleet. */
export interface FleetWiring {
  readonly loops: readonly Loop[];
  readonly sources: readonly StateSource[];
}

/** Creates the loops that manage the fleets of the settings; a lease elects the daemon that manages each fleet. */
export function wireFleet(
  settings: Settings,
  deps: FleetDependencies,
): FleetWiring {
  const holder = `${settings.identity.daemonId}-${deps.clock.nowMs()}`;
  const managers = settings.fleet.map(fleet =>
    createManager(fleet, deps, holder),
  );
  if (managers.length === 0) return { loops: [], sources: [] };
  return {
    loops: managers.flatMap(manager => createLoops(manager, deps)),
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
  deps: FleetDependencies,
  holder: string,
): FleetManager {
  const { clock, engine, keyValue, router } = deps;
  const leaseKeeper = new LeaseKeeper(keyValue, clock, {
    name: `fleet/${fleet.name}`,
    holder,
    grantMs: LEASE_DURATION_MS,
    marginMs: LEASE_MARGIN_MS,
  });
  return new FleetManager(
    {
      ...deps,
      leaseKeeper,
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
    grantMs: LEASE_DURATION_MS,
    marginMs: LEASE_MARGIN_MS,
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
  deps: FleetDependencies,
): readonly Loop[] {
  const { clock, log } = deps;
  const part = LogComponent.Fleet;
  const renewal = {
    name: 'fleet lease',
    part,
    nextAtMs: () => manager.nextRenewalAtMs(),
    step: () => manager.renew(),
  };
  const planning = {
    name: 'fleet',
    part,
    nextAtMs: (nowMs: number) => nowMs + PLANNING_INTERVAL_MS,
    step: async () => {
      await manager.runRound();
      markLeavingEndpoints(manager, deps);
    },
  };
  return [new Loop(renewal, clock, log), new Loop(planning, clock, log)];
}

/** Marks endpoints as leaving whose instances the fleet plan drains, so that they get no new work. */
function markLeavingEndpoints(
  manager: FleetManager,
  deps: FleetDependencies,
): void {
  const { clock, router } = deps;
  const leavingInstanceIds = manager.leavingInstanceIds();
  for (const { address, instanceId, stage } of router.endpoints()) {
    const isAlreadyLeaving =
      stage === EndpointStage.Leaving || stage === EndpointStage.Terminated;
    if (isAlreadyLeaving || !leavingInstanceIds.has(instanceId)) continue;
    router.markLeaving(address, LeavingSource.Peer, clock.nowMs());
  }
}
