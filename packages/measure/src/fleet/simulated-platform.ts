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

import type { CountingOrderEngine } from './counting-order-engine.js';
import { ENDPOINT_GROUP, MACHINE_CLASSES } from './deployments.js';
import type { FleetTrace } from './trace.js';
import { RECLAIM_NOTICE_MS } from './trace.js';

const LIST_LAG_MS = 5_000;
const BOOT_MS = 60_000;
const LISTED_AFTER_END_MS = 60_000;
const HOUR_MS = 3_600_000;

/** Throughput of the store that endpoints read their weights from. */
export const STORE_BYTES_PER_SECOND = 2e9;

export const REQUIRED_LOADS: readonly EndpointRequirement[] = [
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

/** An instance with its progress through boot, load, drain and end. */
interface SimulatedInstance {
  readonly instance: Instance;
  readonly bootAtMs: number;
  readonly engine?: ModelEngine;
  readonly readyAtMs?: number;
  /** Time at which the reclaim was announced. */
  readonly reclaimNoticedAtMs?: number;
  /** Time from which the instance receives no new work. */
  readonly drainingSinceMs?: number;
  readonly endedAtMs?: number;
}

/** Load and drain time of an instance that was reclaimed or stopped in the last tick. */
export interface EndedInstance {
  readonly tokensPerSecond: number;
  /** Time without new work before the end of the instance. */
  readonly drainedMs: number;
}

/** Simulated cloud platform that boots, loads, bills and reclaims instances according to a trace. */
export class SimulatedPlatform {
  readonly cloud: MemoryCloud;
  cost = 0;
  starts = 0;
  private readonly instances = new Map<string, SimulatedInstance>();

  constructor(
    private readonly clock: ManualClock,
    private readonly trace: FleetTrace,
    private readonly engines: CountingOrderEngine,
  ) {
    this.cloud = new MemoryCloud(clock, LIST_LAG_MS);
    this.cloud.stateAfterStart = InstanceState.Starting;
    this.cloud.hasCapacity = request =>
      !trace.refusesStarts(request, clock.nowMs());
  }

  /** Advances the platform by one tick and returns the instances that ended in it. */
  tick(tickMs: number): readonly EndedInstance[] {
    const nowMs = this.clock.nowMs();
    this.cloud.setPrices(this.trace.pricesAt(nowMs));
    this.addStartedInstances(nowMs);
    this.addCost(tickMs, nowMs);
    for (const wave of this.trace.waves) {
      if (nowMs >= wave.noticeAtMs && nowMs < wave.noticeAtMs + tickMs) {
        this.announceReclaims(wave.dataCentre, nowMs);
      }
    }
    return [...this.instances.values()].flatMap(simulated =>
      this.advanceInstance(simulated, nowMs),
    );
  }

  /** Returns the capacity of the instances that accept new work, in tokens per second. */
  servingTokensPerSecond(leaving: ReadonlySet<string>): number {
    const nowMs = this.clock.nowMs();
    this.markDraining(leaving, nowMs);
    return [...this.instances.values()]
      .filter(simulated => isServing(simulated, nowMs))
      .reduce(
        (sum, simulated) => sum + tokensPerSecondOf(simulated.instance),
        0,
      );
  }

  private markDraining(leaving: ReadonlySet<string>, nowMs: number): void {
    for (const [id, simulated] of this.instances) {
      const isDraining =
        leaving.has(id) || simulated.reclaimNoticedAtMs !== undefined;
      if (!isDraining || simulated.drainingSinceMs !== undefined) continue;
      this.instances.set(id, { ...simulated, drainingSinceMs: nowMs });
    }
  }

  private addStartedInstances(nowMs: number): void {
    for (const instance of this.cloud.currentInstances()) {
      if (this.instances.has(instance.id)) continue;
      this.starts += 1;
      const bootAtMs = nowMs + BOOT_MS;
      this.instances.set(instance.id, { instance, bootAtMs });
    }
  }

  private addCost(tickMs: number, nowMs: number): void {
    const prices = new Map(
      this.trace
        .pricesAt(nowMs)
        .map(price => [poolKey(price), price.pricePerHour]),
    );
    for (const { endedAtMs, instance } of this.instances.values()) {
      if (endedAtMs !== undefined) continue;
      const price = prices.get(poolKey(instance)) ?? 0;
      this.cost += (price * tickMs) / HOUR_MS;
    }
  }

  private announceReclaims(dataCentre: string, nowMs: number): void {
    for (const [id, simulated] of this.instances) {
      const { instance } = simulated;
      const isAffected =
        instance.dataCentre === dataCentre &&
        instance.billing === InstanceBilling.Reclaimable &&
        simulated.endedAtMs === undefined;
      if (!isAffected) continue;
      this.cloud.announceReclaim(id, nowMs + RECLAIM_NOTICE_MS);
      this.instances.set(id, { ...simulated, reclaimNoticedAtMs: nowMs });
    }
  }

  private advanceInstance(
    simulated: SimulatedInstance,
    nowMs: number,
  ): readonly EndedInstance[] {
    const { id } = simulated.instance;
    if (simulated.endedAtMs !== undefined) {
      if (nowMs - simulated.endedAtMs > LISTED_AFTER_END_MS) {
        this.cloud.removeInstance(id);
        this.instances.delete(id);
      }
      return [];
    }
    const isStopped = this.cloud
      .currentInstances()
      .some(
        instance =>
          instance.id === id && instance.state === InstanceState.Terminated,
      );
    const { reclaimNoticedAtMs } = simulated;
    const isReclaimed =
      reclaimNoticedAtMs !== undefined &&
      nowMs >= reclaimNoticedAtMs + RECLAIM_NOTICE_MS;
    if (isStopped || isReclaimed) return [this.endInstance(simulated, nowMs)];
    if (reclaimNoticedAtMs === undefined) this.bootInstance(simulated, nowMs);
    return [];
  }

  private endInstance(
    simulated: SimulatedInstance,
    nowMs: number,
  ): EndedInstance {
    const { instance } = simulated;
    void this.cloud.stop(instance.id);
    this.cloud.removeEndpoint(addressOf(instance));
    this.engines.removeEngine(addressOf(instance));
    this.instances.set(instance.id, { ...simulated, endedAtMs: nowMs });
    const wasReady =
      simulated.readyAtMs !== undefined && nowMs >= simulated.readyAtMs;
    return {
      tokensPerSecond: wasReady ? tokensPerSecondOf(instance) : 0,
      drainedMs: nowMs - (simulated.drainingSinceMs ?? nowMs),
    };
  }

  /** Boots the instance, then loads its weights once an order to load them has arrived. */
  private bootInstance(simulated: SimulatedInstance, nowMs: number): void {
    const { engine, instance, readyAtMs } = simulated;
    if (nowMs < simulated.bootAtMs) return;
    if (engine === undefined) {
      const running = { ...instance, state: InstanceState.Running };
      this.cloud.addInstance(running);
      this.addEndpoint(running, EndpointStage.Warming);
      const started = this.engines.addEngine(addressOf(instance));
      this.instances.set(instance.id, { ...simulated, engine: started });
      return;
    }
    if (readyAtMs === undefined) {
      if (engine.inventory().models.length === 0) return;
      const loadMs =
        ((REQUIRED_LOADS[0]?.weightBytes ?? 0) * 1_000) /
        STORE_BYTES_PER_SECOND;
      const loaded = { ...simulated, readyAtMs: nowMs + loadMs };
      this.instances.set(instance.id, loaded);
      return;
    }
    if (nowMs >= readyAtMs) this.addEndpoint(instance, EndpointStage.Ready);
  }

  private addEndpoint(instance: Instance, stage: EndpointStage): void {
    this.cloud.addEndpoint({
      address: addressOf(instance),
      kind: EndpointKind.Model,
      group: ENDPOINT_GROUP,
      version: 'v1',
      dataCentre: instance.dataCentre,
      instanceId: instance.id,
      stage,
    });
  }
}

function isServing(simulated: SimulatedInstance, nowMs: number): boolean {
  const { endedAtMs, drainingSinceMs, readyAtMs } = simulated;
  if (endedAtMs !== undefined || drainingSinceMs !== undefined) return false;
  return readyAtMs !== undefined && nowMs >= readyAtMs;
}

function tokensPerSecondOf(instance: Instance): number {
  return (
    MACHINE_CLASSES.find(candidate => candidate.name === instance.machineClass)
      ?.capacityTokensPerSecond ?? 0
  );
}

function addressOf(instance: Instance): string {
  return `${instance.id}:8000`;
}
