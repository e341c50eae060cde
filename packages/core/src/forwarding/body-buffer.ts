import { GrowingBuffer } from './growing-buffer.js';

/** Size of a block, which is also that of a read from a socket. */
const BLOCK_BYTES = 65_536;
/** Blocks that are kept for further bodies: 8 MiB. */
const MAX_FREE_BLOCKS = 128;

const freeBlocks: Buffer[] = [];

/**
 * Body that is being received. Its chunks are copied into blocks, which further
 * bodies use again: memory outside the heap that bodies leave behind would stay
 * until the collector runs, which takes tens of megabytes of it.
 */
export class BodyBuffer {
  /** Bytes of a body that fits one block. */
  private readonly start = new GrowingBuffer(BLOCK_BYTES);
  private readonly blocks: Buffer[] = [];
  private usedBytes = 0;

  constructor(private readonly maxBytes: number) {}

  /** Bytes of memory held. */
  get capacity(): number {
    return this.start.capacity + this.blocks.length * BLOCK_BYTES;
  }

  /** Bytes of memory held once the chunk is added. */
  capacityWith(chunk: Uint8Array): number {
    if (this.blocks.length === 0 && this.start.fits(chunk))
      return this.start.capacityWith(chunk);
    const neededBytes = this.usedBytes + chunk.length;
    return Math.ceil(neededBytes / BLOCK_BYTES) * BLOCK_BYTES;
  }

  /** Returns whether the body stays within its size with the chunk. */
  fits(chunk: Uint8Array): boolean {
    return this.usedBytes + chunk.length <= this.maxBytes;
  }

  /** Adds a chunk that fits. */
  append(chunk: Uint8Array): void {
    if (this.blocks.length === 0 && this.start.fits(chunk)) {
      this.start.append(chunk);
      this.usedBytes += chunk.length;
      return;
    }
    if (this.blocks.length === 0) this.moveToBlocks();
    this.copy(chunk);
  }

  /** Returns the whole body and gives the blocks back. */
  take(): Buffer {
    if (this.blocks.length === 0) return this.start.bytes;
    const body = Buffer.concat(this.blocks, this.usedBytes);
    this.discard();
    return body;
  }

  /** Gives the blocks back. */
  discard(): void {
    const blocks = this.blocks.splice(0);
    const keptCount = Math.max(0, MAX_FREE_BLOCKS - freeBlocks.length);
    freeBlocks.push(...blocks.slice(0, keptCount));
  }

  private moveToBlocks(): void {
    const { bytes } = this.start;
    this.usedBytes = 0;
    this.copy(bytes);
    this.start.reset(Buffer.alloc(0));
  }

  private copy(chunk: Uint8Array): void {
    let copiedBytes = 0;
    while (copiedBytes < chunk.length) {
      const offset = this.usedBytes % BLOCK_BYTES;
      if (offset === 0)
        this.blocks.push(
          freeBlocks.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES),
        );
      const part = chunk.subarray(
        copiedBytes,
        copiedBytes + BLOCK_BYTES - offset,
      );
      this.blocks.at(-1)?.set(part, offset);
      copiedBytes += part.length;
      this.usedBytes += part.length;
    }
  }
}
