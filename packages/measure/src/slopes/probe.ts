import type { Point } from '../experiment/index.js';

/** Measurement of one cost at several sizes. */
export interface Probe {
  /** Name of the slope, as in the table of the capacity page. */
  readonly name: string;
  /** Unit of the slope. */
  readonly unit: string;
  /** Unit of the sizes. */
  readonly sizeName: string;
  run(seed: number): Promise<readonly Point[]>;
}

/** Returns the mean time of a synchronous step in microseconds, as the minimum over 5 runs of `repeats` steps. */
export function minStepMicros(step: () => void, repeats: number): number {
  const runs = 5;
  let minMicros = Infinity;
  for (let run = 0; run < runs; run += 1) {
    const startedAtMs = performance.now();
    for (let repeat = 0; repeat < repeats; repeat += 1) step();
    const elapsedMicros = (performance.now() - startedAtMs) * 1_000;
    minMicros = Math.min(minMicros, elapsedMicros / repeats);
  }
  return minMicros;
}

/** Returns the heap bytes retained by the value that `create` returns. Throws an error if the garbage collector is not exposed. */
export function retainedHeapBytes(create: () => unknown): number {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const retained = create();
  collectGarbage();
  const bytes = process.memoryUsage().heapUsed - before;
  return retained === undefined ? 0 : bytes;
}

function collectGarbage(): void {
  if (globalThis.gc === undefined) {
    throw new Error(
      'Measuring memory needs an exposed garbage collector; run `npm run measure`, which sets --expose-gc.',
    );
  }
  globalThis.gc();
}
