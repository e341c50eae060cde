import type { DataCentre } from '../ports/index.js';
import type { FleetPolicy, Pool } from './fleet-policy.js';
import { capacityOf } from './fleet-policy.js';

/** Serving capacity of a set of instances, in total and by data centre, in tokens per second. */
export class Capacity {
  private readonly byDataCentre = new Map<DataCentre, number>();
  private total = 0;

  constructor(
    private readonly policy: FleetPolicy,
    pools: readonly Pool[],
  ) {
    for (const pool of pools) this.add(pool);
  }

  add(pool: Pool): void {
    this.adjust(pool, capacityOf(this.policy, pool.machineClass));
  }

  remove(pool: Pool): void {
    this.adjust(pool, -capacityOf(this.policy, pool.machineClass));
  }

  inDataCentre(dataCentre: DataCentre): number {
    return this.byDataCentre.get(dataCentre) ?? 0;
  }

  get totalTokensPerSecond(): number {
    return this.total;
  }

  /** Capacity that remains after the loss of the data centre with the highest capacity. */
  get guaranteedTokensPerSecond(): number {
    return this.total - Math.max(0, ...this.byDataCentre.values());
  }

  private adjust(pool: Pool, tokensPerSecond: number): void {
    this.total += tokensPerSecond;
    this.byDataCentre.set(
      pool.dataCentre,
      this.inDataCentre(pool.dataCentre) + tokensPerSecond,
    );
  }
}
