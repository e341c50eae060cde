import type { DemandSource } from '@skylarkreach/core/fleet';
import { estimateDemand } from '@skylarkreach/core/fleet';
import type {
  Address,
  EngineClient,
  LoadReport,
} from '@skylarkreach/core/ports';
import { EndpointStage, PlatformError } from '@skylarkreach/core/ports';
import type { Router } from '@skylarkreach/core/routing';

const CALL_TIMEOUT_MS = 1_000;

/** Demand of a group, computed from the load reports of its endpoints. */
export class LoadDemand implements DemandSource {
  /** Last report of each endpoint of the group that the router knows. */
  private lastReports = new Map<Address, LoadReport>();

  constructor(
    private readonly group: string,
    private readonly engine: EngineClient,
    private readonly router: Router,
  ) {}

  /**
   * Returns the demand of the group. An endpoint whose load cannot be read counts
   * with its last report, so that a network fault does not drain the fleet.
   */
  async demandTokensPerSecond(nowMs: number): Promise<number> {
    const deadlineAtMs = nowMs + CALL_TIMEOUT_MS;
    const addresses = this.router
      .endpoints()
      .filter(endpoint => endpoint.group === this.group)
      .filter(endpoint => endpoint.stage !== EndpointStage.Terminated)
      .map(endpoint => endpoint.address);
    const reports = new Map<Address, LoadReport>();
    await Promise.all(
      addresses.map(async address => {
        const report = await this.readLoad(address, deadlineAtMs);
        if (report !== undefined) reports.set(address, report);
      }),
    );
    this.lastReports = reports;
    return estimateDemand([...reports.values()]);
  }

  private async readLoad(
    address: Address,
    deadlineAtMs: number,
  ): Promise<LoadReport | undefined> {
    try {
      return await this.engine.load(address, deadlineAtMs);
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      return this.lastReports.get(address);
    }
  }
}
