import type { EndpointRequirement } from '@skylarkreach/core/fleet';
import { poolKey } from '@skylarkreach/core/fleet';
import type { Instance, ManualClock } from '@skylarkreach/core/ports';
import {
  EndpointKind,
  EndpointStage,
  EngineOrderKind,
  InstanceBilling,
  InstanceState,
} from '@skylarkreach/core/ports';
import type { ModelEngine } from '@skylarkreach/stand-ins';
import { MemoryCloud } from '@skylarkreach/stand-ins';

import { FLEET_GROUP, MACHINE_CLASSES } from './deployments.js';
import type { OrderLog } from './order-log.js';
import type { FleetTrace } from './trace.js';
import { NOTICE_MS } from './trace.js';

const LIST_LAG_MS = 5_000;
const BOOT_MS = 60_000;
const KEPT_IN_LIST_MS = 60_000;
const HOUR_MS = 3_600_000;

/** Store that endpoints read their weights from. */
export const STORE_BYTES_PER_SECOND = 2e9;

export const LOADS: readonly EndpointRequirement[] = [
  {
    kind: EngineOrderKind.LoadModel,
    target: 'ruling-model',
    weightBytes: 16e9,
    neededTokensPerSecond: 100,
  },
  {
    kind: EngineOrderKind.LoadAdapter,
    target: 'house-adapter',
    weightBytes: 1e9,
    neededTokensPerSecond: 10,
  },
  {
    kind: EngineOrderKind.ChangeRole,
    target: 'decode',
    weightBytes: 0,
    neededTokensPerSecond: 1,
  },
];

interface Machine {
  readonly instance: Instance;
  readonly bootAtMs: number;
  readonly engine?: ModelEngine;
  readonly readyAtMs?: number;
  /** Time at which its reclaim was announced. */
  readonly noticedAtMs?: number;
  /** Time from which it took no new work. */
  readonly leftAtMs?: number;
  readonly goneAtMs?: number;
}

/** An instance that was taken or stopped in the last tick. */
export interface LostMachine {
  readonly tokensPerSecond: number;
  /** Time without new work that it had before it went. */
  readonly drainedMs: number;
}

/** The platform of the experiment: boots, loads, prices and reclaims by a trace. */
export class World {
  readonly cloud: MemoryCloud;
  cost = 0;
  starts = 0;
  private readonly machines = new Map<string, Machine>();

  constructor(
    private readonly clock: ManualClock,
    private readonly trace: FleetTrace,
    private readonly orders: OrderLog,
  ) {
    this.cloud = new MemoryCloud(clock, LIST_LAG_MS);
    this.cloud.stateAfterStart = InstanceState.Starting;
    this.cloud.hasCapacity = request => !trace.refuses(request, clock.nowMs());
  }

  /** Moves the platform by one tick and tells what was lost in it. */
  tick(tickMs: number): readonly LostMachine[] {
    const nowMs = this.clock.nowMs();
    this.cloud.setPrices(this.trace.pricesAt(nowMs));
    this.addStarted(nowMs);
    this.bill(tickMs, nowMs);
    for (const wave of this.trace.waves) {
      if (nowMs >= wave.noticeAtMs && nowMs < wave.noticeAtMs + tickMs) {
        this.announce(wave.dataCentre, nowMs);
      }
    }
    return [...this.machines.values()].flatMap(machine =>
      this.advance(machine, nowMs),
    );
  }

  /** Load that instances carry which take new work, in tokens a second. */
  servingTokensPerSecond(leaving: ReadonlySet<string>): number {
    const nowMs = this.clock.nowMs();
    this.markLeft(leaving, nowMs);
    return [...this.machines.values()]
      .filter(machine => isServing(machine, nowMs))
      .reduce((sum, machine) => sum + tokensOf(machine.instance), 0);
  }

  private markLeft(leaving: ReadonlySet<string>, nowMs: number): void {
    for (const [id, machine] of this.machines) {
      const hasLeft = leaving.has(id) || machine.noticedAtMs !== undefined;
      if (!hasLeft || machine.leftAtMs !== undefined) continue;
      this.machines.set(id, { ...machine, leftAtMs: nowMs });
    }
  }

  private addStarted(nowMs: number): void {
    for (const instance of this.cloud.currentInstances()) {
      if (this.machines.has(instance.id)) continue;
      this.starts += 1;
      const bootAtMs = nowMs + BOOT_MS;
      this.machines.set(instance.id, { instance, bootAtMs });
    }
  }

  private bill(tickMs: number, nowMs: number): void {
    const prices = new Map(
      this.trace
        .pricesAt(nowMs)
        .map(price => [poolKey(price), price.pricePerHour]),
    );
    for (const { goneAtMs, instance } of this.machines.values()) {
      if (goneAtMs !== undefined) continue;
      const price = prices.get(poolKey(instance)) ?? 0;
      this.cost += (price * tickMs) / HOUR_MS;
    }
  }

  private announce(dataCentre: string, nowMs: number): void {
    for (const [id, machine] of this.machines) {
      const { instance } = machine;
      const isTaken =
        instance.dataCentre === dataCentre &&
        instance.billing === InstanceBilling.Reclaimable &&
        machine.goneAtMs === undefined;
      if (!isTaken) continue;
      this.cloud.announceReclaim(id, nowMs + NOTICE_MS);
      this.machines.set(id, { ...machine, noticedAtMs: nowMs });
    }
  }

  private advance(machine: Machine, nowMs: number): readonly LostMachine[] {
    const { id } = machine.instance;
    if (machine.goneAtMs !== undefined) {
      if (nowMs - machine.goneAtMs > KEPT_IN_LIST_MS) {
        this.cloud.removeInstance(id);
        this.machines.delete(id);
      }
      return [];
    }
    const isStopped = this.cloud
      .currentInstances()
      .some(each => each.id === id && each.state === InstanceState.Gone);
    const { noticedAtMs } = machine;
    const isTaken =
      noticedAtMs !== undefined && nowMs >= noticedAtMs + NOTICE_MS;
    if (isStopped || isTaken) return [this.end(machine, nowMs)];
    if (noticedAtMs === undefined) this.boot(machine, nowMs);
    return [];
  }

  private end(machine: Machine, nowMs: number): LostMachine {
    const { instance } = machine;
    void this.cloud.stop(instance.id);
    this.cloud.removeEndpoint(addressOf(instance));
    this.orders.remove(addressOf(instance));
    this.machines.set(instance.id, { ...machine, goneAtMs: nowMs });
    const wasReady =
      machine.readyAtMs !== undefined && nowMs >= machine.readyAtMs;
    return {
      tokensPerSecond: wasReady ? tokensOf(instance) : 0,
      drainedMs: nowMs - (machine.leftAtMs ?? nowMs),
    };
  }

  /** Boots the instance, then loads its weights once it was ordered to. */
  private boot(machine: Machine, nowMs: number): void {
    const { engine, instance, readyAtMs } = machine;
    if (nowMs < machine.bootAtMs) return;
    if (engine === undefined) {
      const running = { ...instance, state: InstanceState.Running };
      this.cloud.addInstance(running);
      this.addEndpoint(running, EndpointStage.Warming);
      const started = this.orders.add(addressOf(instance));
      this.machines.set(instance.id, { ...machine, engine: started });
      return;
    }
    if (readyAtMs === undefined) {
      if (engine.inventory().models.length === 0) return;
      const loadMs =
        ((LOADS[0]?.weightBytes ?? 0) * 1_000) / STORE_BYTES_PER_SECOND;
      const loaded = { ...machine, readyAtMs: nowMs + loadMs };
      this.machines.set(instance.id, loaded);
      return;
    }
    if (nowMs >= readyAtMs) this.addEndpoint(instance, EndpointStage.Ready);
  }

  private addEndpoint(instance: Instance, stage: EndpointStage): void {
    this.cloud.addEndpoint({
      address: addressOf(instance),
      kind: EndpointKind.Model,
      group: FLEET_GROUP,
      version: 'v1',
      dataCentre: instance.dataCentre,
      instanceId: instance.id,
      stage,
    });
  }
}

function isServing(machine: Machine, nowMs: number): boolean {
  const { goneAtMs, leftAtMs, readyAtMs } = machine;
  if (goneAtMs !== undefined || leftAtMs !== undefined) return false;
  return readyAtMs !== undefined && nowMs >= readyAtMs;
}

function tokensOf(instance: Instance): number {
  return (
    MACHINE_CLASSES.find(each => each.name === instance.machineClass)
      ?.capacityTokensPerSecond ?? 0
  );
}

function addressOf(instance: Instance): string {
  return `${instance.id}:8000`;
}
