import type { QueuedRequest } from './queued-request.js';

/** Number of workspaces from which those without a debt are forgotten. */
const MAX_WORKSPACES = 1_024; // bounds memory to some 100 kB
/** Least cost of a request, so that one whose service time is not known counts. */
const MIN_COST_MS = 1;

/**
 * Turns of workspaces by start-time fair queueing (Goyal, Vin and Cheng, 1996):
 * each pays for a request its expected service time, and the one that has paid
 * least is next. A workspace without requests saves nothing up.
 */
export class WorkspaceShares {
  private readonly paidMs = new Map<string, number>();
  private virtualTimeMs = 0;

  /** Start tag of the workspace's next request; the lowest one is next. */
  startTag(workspace: string): number {
    return Math.max(this.virtualTimeMs, this.paidMs.get(workspace) ?? 0);
  }

  charge(request: QueuedRequest): void {
    const { workspace } = request;
    const start = this.startTag(workspace);
    this.virtualTimeMs = start;
    this.paidMs.set(workspace, start + costOf(request));
    if (this.paidMs.size > MAX_WORKSPACES) this.forgetIdle();
  }

  /** Takes back the charge for a request that was not sent after all. */
  refund(request: QueuedRequest): void {
    const paidMs = this.paidMs.get(request.workspace);
    if (paidMs === undefined) return;
    const start = Math.max(0, paidMs - costOf(request));
    this.paidMs.set(request.workspace, start);
    this.virtualTimeMs = Math.min(this.virtualTimeMs, start);
  }

  private forgetIdle(): void {
    for (const [workspace, paidMs] of this.paidMs)
      if (paidMs <= this.virtualTimeMs) this.paidMs.delete(workspace);
  }
}

/** Returns what a workspace pays for a request, in milliseconds. */
export function costOf({ expectedServiceMs }: QueuedRequest): number {
  return Math.max(MIN_COST_MS, expectedServiceMs);
}
