/** Moving average that starts as the plain mean of its first values, so that the first value does not prevail. */
export class MovingAverage {
  /** Number of values, up to the one at which the weight of a new value is at its minimum. */
  count = 0;
  private average: number;

  /** `initial` is the average before the first value; `minWeight` that of a new value later on. */
  constructor(
    initial: number,
    private readonly minWeight: number,
  ) {
    this.average = initial;
  }

  get value(): number {
    return this.average;
  }

  /** Adds a value; one that is not finite is ignored. */
  add(value: number): void {
    if (!Number.isFinite(value)) return;
    this.count = Math.min(this.count + 1, 1 / this.minWeight);
    this.average += (value - this.average) / this.count;
  }
}
