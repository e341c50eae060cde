import type { PlacementCall } from './placement-load.js';

/** What the callers of a play got. */
export class PlacementResults {
  calls = 0;
  refusals = 0;
  rejections = 0;
  sharedTokensRead = 0;
  private readonly firstMs: number[] = [];
  private readonly totalMs: number[] = [];
  private inTime = 0;

  /** Calls that arrive before `measuredFromMs` are not counted. */
  constructor(private readonly measuredFromMs: number) {}

  /** Share of the calls whose first event did not come within their latency objective. */
  get lateShare(): number {
    return 1 - this.inTime / this.calls;
  }

  firstEventMs(percentile: number): number {
    return percentileOf(this.firstMs, percentile);
  }

  endMs(percentile: number): number {
    return percentileOf(this.totalMs, percentile);
  }

  recordArrival(call: PlacementCall): void {
    if (this.isMeasured(call)) this.calls += 1;
  }

  recordRefusal(call: PlacementCall): void {
    if (this.isMeasured(call)) this.refusals += 1;
  }

  recordFirstEvent(call: PlacementCall, nowMs: number): void {
    if (!this.isMeasured(call)) return;
    const elapsedMs = nowMs - call.arrivesAtMs;
    this.firstMs.push(elapsedMs);
    if (elapsedMs <= call.kind.objectiveMs) this.inTime += 1;
  }

  recordEnd(call: PlacementCall, nowMs: number): void {
    if (this.isMeasured(call)) this.totalMs.push(nowMs - call.arrivesAtMs);
  }

  addEngine(rejections: number, sharedTokensRead: number): void {
    this.rejections += rejections;
    this.sharedTokensRead += sharedTokensRead;
  }

  private isMeasured({ arrivesAtMs }: PlacementCall): boolean {
    return arrivesAtMs >= this.measuredFromMs;
  }
}

function percentileOf(values: readonly number[], percentile: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const index = Math.ceil((sorted.length * percentile) / 100) - 1;
  return Math.round(sorted[Math.max(0, index)] ?? 0);
}
