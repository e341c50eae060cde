const EMPTY = Buffer.alloc(0);

/** Bytes collected from chunks of any size, copied so that no chunk is retained. */
export class GrowingBuffer {
  private buffer = EMPTY;
  private usedBytes = 0;

  /** `maxBytes` bounds the capacity. */
  constructor(private readonly maxBytes: number) {}

  /** The collected bytes; valid until the next change. */
  get bytes(): Buffer {
    return this.buffer.subarray(0, this.usedBytes);
  }

  get length(): number {
    return this.usedBytes;
  }

  /** Bytes of memory held. */
  get capacity(): number {
    return this.buffer.length;
  }

  /** Bytes of memory held once the chunk, which must fit, is added; the capacity doubles, so that adding costs constant time a byte. */
  capacityWith(chunk: Uint8Array): number {
    const neededBytes = this.usedBytes + chunk.length;
    if (neededBytes <= this.capacity) return this.capacity;
    return Math.max(neededBytes, Math.min(this.capacity * 2, this.maxBytes));
  }

  /** Returns whether the chunk still fits. */
  fits(chunk: Uint8Array): boolean {
    return this.usedBytes + chunk.length <= this.maxBytes;
  }

  /** Adds a chunk that fits. */
  append(chunk: Uint8Array): void {
    const capacity = this.capacityWith(chunk);
    if (capacity > this.capacity) {
      const grown = Buffer.allocUnsafeSlow(capacity);
      this.buffer.copy(grown, 0, 0, this.usedBytes);
      this.buffer = grown;
    }
    this.buffer.set(chunk, this.usedBytes);
    this.usedBytes += chunk.length;
  }

  /** Replaces all that was collected. */
  reset(chunk: Uint8Array): void {
    this.buffer = EMPTY;
    this.usedBytes = 0;
    if (chunk.length > 0) this.append(chunk);
  }
}
