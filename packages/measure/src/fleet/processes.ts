import type {
  DemandSource,
  FleetManagerOptions,
  FleetPlanner,
  FleetPolicy,
} from '@skylarkreach/core/fleet';
import { FencingCheck, FleetManager } from '@skylarkreach/core/fleet';
import { LeaseKeeper } from '@skylarkreach/core/leases';
import type { KeyValue, ManualClock, Random } from '@skylarkreach/core/ports';
import {
  PlatformError,
  silentLog,
  silentMetrics,
} from '@skylarkreach/core/ports';

import { policyOf } from './deployments.js';
import { Gate } from './gate.js';
import type { OrderLog } from './order-log.js';
import type { FleetTrace } from './trace.js';
import type { World } from './world.js';
import { LOADS, STORE_BYTES_PER_SECOND } from './world.js';

const PROCESSES = 3;
const LEASE = { grantMs: 20_000, marginMs: 2_000 };
const EFFECT_TIMEOUT_MS = 600_000;
const VERIFY_INTERVAL_MS = 60_000;
const CALL_TIMEOUT_MS = 4_000;
const MEAN_PAUSE_GAP_MS = 15 * 60_000;
const MEAN_KILL_GAP_MS = 30 * 60_000;
const MAX_PAUSE_MS = 60_000;

export interface ProcessParts {
  readonly clock: ManualClock;
  readonly random: Random;
  readonly trace: FleetTrace;
  readonly world: World;
  readonly orders: OrderLog;
  readonly keyValue: KeyValue;
  readonly createPlanner: () => FleetPlanner;
}

interface Process {
  readonly manager: FleetManager;
  readonly gate: Gate;
  isBusy: boolean;
  renewAtMs: number;
}

/** The daemons that run the fleet by lease; they are paused and killed at random. */
export class Processes {
  pauses = 0;
  kills = 0;
  private readonly gates: Gate[] = [];
  private readonly processes: Process[];
  private started = 0;

  constructor(private readonly parts: ProcessParts) {
    this.processes = Array.from({ length: PROCESSES }, () => this.create());
  }

  /** Pauses that fell between the last check and a start, a stop or an order. */
  get pausesAtChange(): number {
    return this.gates.reduce((sum, gate) => sum + gate.pausesAtChange, 0);
  }

  /** Lets every process that is not held run one round. */
  step(): void {
    for (const [index, process] of this.processes.entries()) {
      if (process.gate.hasEnded()) this.processes[index] = this.create();
      else if (!process.isBusy) void this.round(process);
    }
  }

  /** Pauses and kills processes at random, those that hold the lease first. */
  disturb(tickMs: number): void {
    const { random } = this.parts;
    const holder =
      this.processes.find(each => each.manager.state().holdsLease) ??
      this.processes[0];
    if (holder === undefined) return;
    if (random.nextFloat() < tickMs / MEAN_PAUSE_GAP_MS) {
      holder.gate.pauseSoon(random.nextFloat() * MAX_PAUSE_MS);
      this.pauses += 1;
    }
    if (random.nextFloat() < tickMs / MEAN_KILL_GAP_MS) {
      holder.gate.killSoon(random.nextFloat() * MAX_PAUSE_MS);
      this.kills += 1;
    }
  }

  /** Instances that any process knows to be leaving. */
  leavingInstanceIds(): ReadonlySet<string> {
    return new Set(
      this.processes.flatMap(each => [...each.manager.leavingInstanceIds()]),
    );
  }

  private async round(process: Process): Promise<void> {
    process.isBusy = true;
    try {
      const { manager } = process;
      if (this.parts.clock.nowMs() >= process.renewAtMs) {
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

  private create(): Process {
    const { clock, random } = this.parts;
    this.started += 1;
    const gate = new Gate(clock, random);
    this.gates.push(gate);
    const manager = this.createManager(gate, `process-${this.started}`);
    return { manager, gate, isBusy: false, renewAtMs: 0 };
  }

  private createManager(gate: Gate, holder: string): FleetManager {
    const { clock, orders, trace, world } = this.parts;
    const { name } = trace.deployment;
    const keyValue = gate.wrap(this.parts.keyValue);
    const lease = { name: `fleet/${name}`, holder, ...LEASE };
    return new FleetManager(
      {
        clock,
        cloud: gate.wrap(world.cloud),
        engine: gate.wrap(orders),
        keyValue,
        leaseKeeper: new LeaseKeeper(keyValue, clock, lease),
        planner: this.parts.createPlanner(),
        demand: demandOfTrace(trace),
        requirements: { endpointRequirements: () => LOADS },
        log: silentLog,
        metrics: silentMetrics,
      },
      managerOptions(policyOf(trace.deployment)),
    );
  }
}

function demandOfTrace(trace: FleetTrace): DemandSource {
  return {
    demandTokensPerSecond: nowMs => Promise.resolve(trace.demandAt(nowMs)),
  };
}

function managerOptions(policy: FleetPolicy): FleetManagerOptions {
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
