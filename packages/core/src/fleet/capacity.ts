import type { DataCentre } from '../ports/index.js';
import type { FleetPolicy, Pool } from './fleet-policy.js';
import { capacityOf } from './fleet-policy.js';

/** Load that a set of instances carries, by data centre, in tokens a second. */
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
    this.change(pool, capacityOf(this.policy, pool.machineClass));
  }

  remove(pool: Pool): void {
    this.change(pool, -capacityOf(this.policy, pool.machineClass));
  }

  of(dataCentre: DataCentre): number {
    return this.byDataCentre.get(dataCentre) ?? 0;
  }

  get totalTokensPerSecond(): number {
    return this.total;
  }

  /** Load left after the loss of the data centre that carries most. */
  get guaranteedTokensPerSecond(): number {
    return this.total - Math.max(0, ...this.byDataCentre.values());
  }

  private change(pool: Pool, tokensPerSecond: number): void {
    this.total += tokensPerSecond;
    this.byDataCentre.set(
      pool.dataCentre,
      this.of(pool.dataCentre) + tokensPerSecond,
    );
  }
}
