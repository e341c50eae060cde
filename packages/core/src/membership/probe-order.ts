import type { Random } from '../ports/index.js';

/** Goes round the members in an order that is drawn anew for each round (SWIM, section 4.3). */
export class ProbeOrder {
  private rest: string[] = [];

  /** The next member's id; undefined where there is none. */
  next(ids: readonly string[], random: Random): string | undefined {
    if (this.rest.length === 0) this.rest = pickRandom(random, ids, ids.length);
    return this.rest.pop();
  }
}

/** Up to `count` of the items, each as likely as any other. */
export function pickRandom<T>(
  random: Random,
  from: readonly T[],
  count: number,
): T[] {
  const rest = [...from];
  const picked: T[] = [];
  while (picked.length < count && rest.length > 0) {
    const index = random.nextInteger(rest.length);
    picked.push(...rest.splice(index, 1));
  }
  return picked;
}
