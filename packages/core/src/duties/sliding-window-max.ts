interface Sample {
  readonly value: number;
  readonly atMs: number;
}

/** Maximum of the values added within a sliding time window. */
export class SlidingWindowMax {
  /** Samples not exceeded or equalled by a later one, so their values decrease strictly. */
  private samples: Sample[] = [];

  constructor(private readonly windowMs: number) {}

  add(value: number, nowMs: number): void {
    const higher = this.samples.filter(sample => sample.value > value);
    this.samples = [...higher, { value, atMs: nowMs }];
  }

  /** Returns the maximum, or 0 where the window has no samples. */
  max(nowMs: number): number {
    this.samples = this.samples.filter(
      sample => nowMs - sample.atMs <= this.windowMs,
    );
    return this.samples[0]?.value ?? 0;
  }
}
