import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/**
 * Bytes that are read between two collections: one takes 0.5 ms (with 200,000
 * objects on the heap), as long as copying so many bytes. Requests of 2 kB cause
 * one every 4,000.
 */
const MAX_GARBAGE_BYTES = 8_388_608;

type Collect = (options: { readonly type: 'minor' }) => void;

/**
 * Bounds the memory of chunks that were read and are no longer used. They lie
 * outside the heap, where V8 counts them late: it collects them once they have
 * reached 32 to 64 MB. Meant for crowds of callers that send large bodies.
 */
export class ReadGarbage {
  private readBytes = 0;

  constructor(
    /** Collects what was created lately and is no longer used. */
    private readonly collect: () => void,
    private readonly maxBytes: number,
  ) {}

  /** Counts a chunk that is not kept. */
  add(chunk: Uint8Array): void {
    this.readBytes += chunk.length;
    if (this.readBytes < this.maxBytes) return;
    this.readBytes = 0;
    this.collect();
  }
}

/** Returns V8's collector of young objects; its flag is set only for the call, as a code cache is accepted under equal flags only. */
function exposeCollector(): Collect {
  try {
    setFlagsFromString('--expose-gc');
    return runInNewContext('gc') as Collect;
  } catch {
    return () => undefined; // a process with frozen flags
  } finally {
    setFlagsFromString('--no-expose-gc');
  }
}

let collector: Collect | undefined;

/** The garbage of this process, whose connections share one heap. */
export const readGarbage = new ReadGarbage(() => {
  collector ??= exposeCollector();
  collector({ type: 'minor' });
}, MAX_GARBAGE_BYTES);
