interface Sample {
  readonly value: number;
  readonly atMs: number;
}

/** Largest value of a span of time that moves on. */
export class RecentPeak {
  /** Samples that no later one exceeds, so their values fall. */
  private samples: Sample[] = [];

  constructor(private readonly spanMs: number) {}

  add(value: number, nowMs: number): void {
    const higher = this.samples.filter(each => each.value > value);
    this.samples = [...higher, { value, atMs: nowMs }];
  }

  /** 0 where nothing was added lately. */
  value(nowMs: number): number {
    this.samples = this.samples.filter(
      each => nowMs - each.atMs <= this.spanMs,
    );
    return this.samples[0]?.value ?? 0;
  }
}
