import type {
  DemandSource,
  FleetManagerOptions,
  FleetPlanner,
  FleetPolicy,
} from '@skylarkreach/core/fleet';
import { FencingCheck, FleetManager } from '@skylarkreach/core/fleet';
import { LeaseKeeper } from '@skylarkreach/core/leases';
import type {
  KeyValueStore,
  ManualClock,
  Random,
} from '@skylarkreach/core/ports';
import { noopLog, noopMetrics, PlatformError } from '@skylarkreach/core/ports';

import { CallFaultInjector } from './call-fault-injector.js';
import type { CountingOrderEngine } from './counting-order-engine.js';
import { createPolicy } from './deployments.js';
import type { SimulatedPlatform } from './simulated-platform.js';
import {
  REQUIRED_LOADS,
  STORE_BYTES_PER_SECOND,
} from './simulated-platform.js';
import type { FleetTrace } from './trace.js';

const PROCESSES = 3;
const LEASE = { grantMs: 20_000, marginMs: 2_000 };
const EFFECT_TIMEOUT_MS = 600_000;
const VERIFY_INTERVAL_MS = 60_000;
const CALL_TIMEOUT_MS = 4_000;
const MEAN_PAUSE_INTERVAL_MS = 15 * 60_000;
const MEAN_KILL_INTERVAL_MS = 30 * 60_000;
const MAX_PAUSE_MS = 60_000;

export interface FleetManagerProcessesDependencies {
  readonly clock: ManualClock;
  readonly random: Random;
  readonly trace: FleetTrace;
  readonly platform: SimulatedPlatform;
  readonly engines: CountingOrderEngine;
  readonly keyValue: KeyValueStore;
  readonly createPlanner: () => FleetPlanner;
}

interface ManagerProcess {
  readonly manager: FleetManager;
  readonly faults: CallFaultInjector;
  isBusy: boolean;
  renewAtMs: number;
}

/** Daemons that run the fleet manager under a lease, paused and killed at random. */
export class FleetManagerProcesses {
  pauses = 0;
  kills = 0;
  private readonly faultInjectors: CallFaultInjector[] = [];
  private readonly processes: ManagerProcess[];
  private startedCount = 0;

  constructor(private readonly deps: FleetManagerProcessesDependencies) {
    this.processes = Array.from({ length: PROCESSES }, () =>
      this.createProcess(),
    );
  }

  /** Number of pauses between the last check and a start, a stop or an order. */
  get pausesAtMutations(): number {
    return this.faultInjectors.reduce(
      (sum, faults) => sum + faults.pausesAtMutations,
      0,
    );
  }

  /** Replaces ended processes and starts a round in every process that is not in one. */
  startRounds(): void {
    for (const [index, process] of this.processes.entries()) {
      if (process.faults.hasEnded())
        this.processes[index] = this.createProcess();
      else if (!process.isBusy) void this.runRound(process);
    }
  }

  /** Pauses and kills a process at random: the lease holder, or the first process if none holds the lease. */
  injectFaults(tickMs: number): void {
    const { random } = this.deps;
    const holder =
      this.processes.find(process => process.manager.state().holdsLease) ??
      this.processes[0];
    if (holder === undefined) return;
    if (random.nextFloat() < tickMs / MEAN_PAUSE_INTERVAL_MS) {
      holder.faults.schedulePause(random.nextFloat() * MAX_PAUSE_MS);
      this.pauses += 1;
    }
    if (random.nextFloat() < tickMs / MEAN_KILL_INTERVAL_MS) {
      holder.faults.scheduleKill(random.nextFloat() * MAX_PAUSE_MS);
      this.kills += 1;
    }
  }

  /** Returns the instances that any process knows to be leaving. */
  leavingInstanceIds(): ReadonlySet<string> {
    return new Set(
      this.processes.flatMap(process => [
        ...process.manager.leavingInstanceIds(),
      ]),
    );
  }

  private async runRound(process: ManagerProcess): Promise<void> {
    process.isBusy = true;
    try {
      const { manager } = process;
      if (this.deps.clock.nowMs() >= process.renewAtMs) {
        await manager.renew();
        process.renewAtMs = manager.nextRenewalAtMs();
      }
      await manager.runRound();
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
    } finally {
      process.isBusy = false;
    }
  }

  private createProcess(): ManagerProcess {
    const { clock, random } = this.deps;
    this.startedCount += 1;
    const faults = new CallFaultInjector(clock, random);
    this.faultInjectors.push(faults);
    const manager = this.createManager(faults, `process-${this.startedCount}`);
    return { manager, faults, isBusy: false, renewAtMs: 0 };
  }

  private createManager(
    faults: CallFaultInjector,
    holder: string,
  ): FleetManager {
    const { clock, engines, trace, platform } = this.deps;
    const { name } = trace.deployment;
    const keyValue = faults.wrap(this.deps.keyValue);
    const lease = { name: `fleet/${name}`, holder, ...LEASE };
    return new FleetManager(
      {
        clock,
        cloud: faults.wrap(platform.cloud),
        engine: faults.wrap(engines),
        keyValue,
        leaseKeeper: new LeaseKeeper(keyValue, clock, lease),
        planner: this.deps.createPlanner(),
        demand: createDemandSource(trace),
        requirements: { endpointRequirements: () => REQUIRED_LOADS },
        log: noopLog,
        metrics: noopMetrics,
      },
      createManagerOptions(createPolicy(trace.deployment)),
    );
  }
}

function createDemandSource(trace: FleetTrace): DemandSource {
  return {
    demandTokensPerSecond: nowMs => Promise.resolve(trace.demandAt(nowMs)),
  };
}

function createManagerOptions(policy: FleetPolicy): FleetManagerOptions {
  return {
    ...LEASE,
    policy,
    callTimeoutMs: CALL_TIMEOUT_MS,
    storeBytesPerSecond: STORE_BYTES_PER_SECOND,
    orderRunnerOptions: {
      fleet: policy.name,
      fencingCheck: FencingCheck.Ignored,
      effectTimeoutMs: EFFECT_TIMEOUT_MS,
      verifyIntervalMs: VERIFY_INTERVAL_MS,
    },
  };
}
