const BIN_MS = 25;

/** Sum of the tokens that were added within a time up to now, in bins of 25 ms. */
export class RecentTokens {
  private readonly bins: Float64Array;
  private newestBin = 0;

  constructor(spanMs: number) {
    this.bins = new Float64Array(Math.ceil(spanMs / BIN_MS));
  }

  add(tokens: number, nowMs: number): void {
    this.advance(nowMs);
    const index = this.newestBin % this.bins.length;
    this.bins[index] = (this.bins[index] ?? 0) + tokens;
  }

  sum(nowMs: number): number {
    this.advance(nowMs);
    return this.bins.reduce((sum, tokens) => sum + tokens, 0);
  }

  private advance(nowMs: number): void {
    const newest = Math.floor(nowMs / BIN_MS);
    const { length } = this.bins;
    if (newest - this.newestBin >= length) this.bins.fill(0);
    else
      for (let bin = this.newestBin + 1; bin <= newest; bin += 1)
        this.bins[bin % length] = 0;
    this.newestBin = Math.max(this.newestBin, newest);
  }
}
