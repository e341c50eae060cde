import type { Random } from '../ports/index.js';

/** Round-robin order of probe targets, shuffled anew for each round (SWIM, section 4.3). */
export class ProbeOrder {
  private remainingIds: string[] = [];

  /** Returns the id of the next member, or undefined when `ids` is empty. */
  next(ids: readonly string[], random: Random): string | undefined {
    if (this.remainingIds.length === 0)
      this.remainingIds = sampleRandom(random, ids, ids.length);
    return this.remainingIds.pop();
  }
}

/** Returns a uniform random sample of up to `count` items, in random order. */
export function sampleRandom<T>(
  random: Random,
  items: readonly T[],
  count: number,
): T[] {
  const remaining = [...items];
  const sample: T[] = [];
  while (sample.length < count && remaining.length > 0) {
    const index = random.nextInteger(remaining.length);
    sample.push(...remaining.splice(index, 1));
  }
  return sample;
}
