import type { Point } from '../experiment/index.js';

/** Measures one cost at several sizes. */
export interface Probe {
  /** Name of the slope; the capacity page refers to it. */
  readonly name: string;
  /** Unit of the slope. */
  readonly unit: string;
  /** What the sizes count. */
  readonly sizeName: string;
  run(seed: number): Promise<readonly Point[]>;
}

/** Time of a synchronous step in microseconds, the least of several runs. */
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

/** Bytes of heap that `create` keeps alive. Needs a collector that can be called. */
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
      'Memory cannot be measured; run through `npm run measure`, which exposes the collector.',
    );
  }
  globalThis.gc();
}
