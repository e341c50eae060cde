import type { DemandSource } from '@skylarkreach/core/fleet';
import { demandOf } from '@skylarkreach/core/fleet';
import type { Engine, LoadReport } from '@skylarkreach/core/platform';
import { EndpointStage, PlatformError } from '@skylarkreach/core/platform';
import type { Router } from '@skylarkreach/core/routing';

const CALL_TIMEOUT_MS = 1_000;

/** Demand of a group, from the load reports of its endpoints. */
export class LoadDemand implements DemandSource {
  constructor(
    private readonly group: string,
    private readonly engine: Engine,
    private readonly router: Router,
  ) {}

  /** An endpoint that gives no report counts as idle. */
  async demandTokensPerSecond(nowMs: number): Promise<number> {
    const deadlineAtMs = nowMs + CALL_TIMEOUT_MS;
    const reports = await Promise.all(
      this.router
        .endpoints()
        .filter(endpoint => endpoint.group === this.group)
        .filter(endpoint => endpoint.stage !== EndpointStage.Gone)
        .map(endpoint => this.read(endpoint.address, deadlineAtMs)),
    );
    return demandOf(reports.flatMap(report => report ?? []));
  }

  private async read(
    address: string,
    deadlineAtMs: number,
  ): Promise<LoadReport | undefined> {
    try {
      return await this.engine.load(address, deadlineAtMs);
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      return undefined;
    }
  }
}
