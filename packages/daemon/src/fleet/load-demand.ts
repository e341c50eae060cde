import type { DemandSource } from '@skylarkreach/core/fleet';
import { estimateDemand } from '@skylarkreach/core/fleet';
import type { Address, Engine, LoadReport } from '@skylarkreach/core/ports';
import { EndpointStage, PlatformError } from '@skylarkreach/core/ports';
import type { Router } from '@skylarkreach/core/routing';

const CALL_TIMEOUT_MS = 1_000;

/** Demand of a group, from the load reports of its endpoints. */
export class LoadDemand implements DemandSource {
  /** Last report of each endpoint that the router knows. */
  private reports = new Map<Address, LoadReport>();

  constructor(
    private readonly group: string,
    private readonly engine: Engine,
    private readonly router: Router,
  ) {}

  /** An endpoint that gives no report counts as it did last, so that a fault of the network drains nothing. */
  async demandTokensPerSecond(nowMs: number): Promise<number> {
    const deadlineAtMs = nowMs + CALL_TIMEOUT_MS;
    const addresses = this.router
      .endpoints()
      .filter(endpoint => endpoint.group === this.group)
      .filter(endpoint => endpoint.stage !== EndpointStage.Gone)
      .map(endpoint => endpoint.address);
    const reports = new Map<Address, LoadReport>();
    await Promise.all(
      addresses.map(async address => {
        const report = await this.read(address, deadlineAtMs);
        if (report !== undefined) reports.set(address, report);
      }),
    );
    this.reports = reports;
    return estimateDemand([...reports.values()]);
  }

  private async read(
    address: Address,
    deadlineAtMs: number,
  ): Promise<LoadReport | undefined> {
    try {
      return await this.engine.load(address, deadlineAtMs);
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      return this.reports.get(address);
    }
  }
}
