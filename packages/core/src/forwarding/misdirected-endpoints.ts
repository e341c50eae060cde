/** Time for which an endpoint is excluded after another one answered on its address. */
const EXCLUSION_MS = 10_000; // the listing names the new owner of the address long before

/** Endpoints on whose addresses other ones have answered. */
export class MisdirectedEndpoints {
  private readonly untilMsById = new Map<string, number>();

  record(id: string, nowMs: number): void {
    this.untilMsById.set(id, nowMs + EXCLUSION_MS);
    for (const [other, untilMs] of this.untilMsById) {
      if (untilMs <= nowMs) this.untilMsById.delete(other);
    }
  }

  has(id: string, nowMs: number): boolean {
    return nowMs < (this.untilMsById.get(id) ?? 0);
  }
}
