import { setTimeout as delay } from 'node:timers/promises';

import { SeededRandom } from '@skylarkreach/core/ports';

import { SoakCallKind } from './soak-checks.js';

/** Target under which endpoints of a soak crash. */
export const CRASHING_TARGET = '/lookups/bad';
const MIN_DISTURBANCE_GAP_MS = 100;
const DISTURBANCE_GAP_SPREAD_MS = 900;

/** Seeded choices of a soak, and the times of its disturbances, which overlap. */
export class SoakPlan {
  private readonly random: SeededRandom;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
  }

  pick<Item>(items: readonly Item[]): Item {
    const item = items[this.random.nextInteger(items.length)];
    if (item === undefined) throw new Error('There is nothing to pick from.');
    return item;
  }

  /** Returns a time of at least `minMs` and less than `spreadMs` more. */
  nextMs(minMs: number, spreadMs: number): number {
    return minMs + this.random.nextFloat() * spreadMs;
  }

  happens(probability: number): boolean {
    return this.random.nextFloat() < probability;
  }

  /** Applies one disturbance after another, without waiting for their ends; resolves once all have ended. */
  async disturb<Disturbance>(
    endAtMs: number,
    disturbances: readonly Disturbance[],
    apply: (disturbance: Disturbance) => Promise<void>,
  ): Promise<void> {
    const tasks: Promise<void>[] = [];
    while (performance.now() < endAtMs) {
      tasks.push(apply(this.pick(disturbances)));
      await delay(
        this.nextMs(MIN_DISTURBANCE_GAP_MS, DISTURBANCE_GAP_SPREAD_MS),
      );
    }
    await Promise.all(tasks);
  }
}

/** Returns the group of an endpoint of a soak, whose id begins with it. */
export function groupOf({ id }: { readonly id: string }): string {
  return id.split('-')[0] ?? '';
}

/** Returns the path of a request of a soak. */
export function pathOf(
  kind: SoakCallKind,
  samplePath: string,
  id: string,
): string {
  switch (kind) {
    case SoakCallKind.Draft:
      return samplePath;
    case SoakCallKind.Report:
      return `/answers/${id}`;
    case SoakCallKind.Crashing:
      return CRASHING_TARGET;
    case SoakCallKind.Posting:
      return `/postings/${id}`;
    case SoakCallKind.Volatile:
      return `/extra-0/${id}`;
    case SoakCallKind.Lookup:
      return `/lookups/${id}`;
  }
}
