import type { Address, CacheEvent } from '../ports/index.js';
import { BLOCK_TOKENS, CacheEventKind } from '../ports/index.js';
import { BoundedMap } from './bounded-map.js';

const MAX_HOLDERS_PER_BLOCK = 16;
/** Weight of a stale block in the count of cached tokens. */
const STALE_BLOCK_WEIGHT = 0.5;
const DEFAULT_MAX_BLOCKS = 65_536;

/** Known state of one endpoint's cache. */
interface EndpointCache {
  /** Incremented on every gap and resync; blocks of an earlier generation are stale. */
  generation: number;
  lastSequence: number;
  readonly blocks: Set<string>;
}

/** Cache generation in which each endpoint was last known to hold the block. */
type Holders = Map<Address, number>;

/**
 * Approximate index of the prompt prefixes that endpoints cache, updated by
 * delayed cache events and by this daemon's own dispatches. After a gap in the
 * events, older blocks count for half until an event or a dispatch confirms them.
 * Bounded in blocks and in holders of a block; the least recently confirmed block is
 * dropped first.
 */
export class PrefixIndex {
  private readonly cacheByAddress = new Map<Address, EndpointCache>();
  private readonly holdersByBlock = new Map<string, Holders>();
  private readonly lastEvictorByBlock: BoundedMap<string, Address>;

  constructor(private readonly maxBlocks = DEFAULT_MAX_BLOCKS) {
    this.lastEvictorByBlock = new BoundedMap(maxBlocks);
  }

  get blockCount(): number {
    return this.holdersByBlock.size;
  }

  /**
   * Applies the cache events of one endpoint. A skipped sequence number counts as
   * a gap. Events that start at a sequence number already applied are a resync:
   * they are replayed, and blocks that they do not contain become stale.
   */
  applyEvents(address: Address, events: readonly CacheEvent[]): void {
    const cache = this.cacheOf(address);
    const first = events[0]?.sequence;
    if (first !== undefined && first <= cache.lastSequence) {
      cache.generation += 1;
      cache.lastSequence = first - 1;
    }
    for (const event of events) {
      const isNext = event.sequence === cache.lastSequence + 1;
      if (!isNext || event.kind === CacheEventKind.Gap) cache.generation += 1;
      cache.lastSequence = event.sequence;
      this.applyEvent(address, event);
    }
  }

  /** Returns the blocks that the endpoint is not known to hold. */
  missingBlocks(
    address: Address,
    blockHashes: readonly string[],
  ): readonly string[] {
    const cache = this.cacheOf(address);
    return blockHashes.filter(hash => !cache.blocks.has(hash));
  }

  /** Records that the endpoint holds the blocks or is about to. */
  addBlocks(address: Address, blockHashes: readonly string[]): void {
    const cache = this.cacheOf(address);
    for (const hash of blockHashes) this.addBlock(address, cache, hash);
  }

  /** Records that the endpoint does not hold the blocks. */
  removeBlocks(address: Address, blockHashes: readonly string[]): void {
    for (const hash of blockHashes) this.removeBlock(address, hash);
  }

  /** Returns the endpoint that last evicted the block, if any. */
  lastEvictorOf(blockHash: string): Address | undefined {
    return this.lastEvictorByBlock.get(blockHash);
  }

  removeEndpoint(address: Address): void {
    for (const hash of this.cacheByAddress.get(address)?.blocks ?? []) {
      this.removeHolder(address, hash);
    }
    this.cacheByAddress.delete(address);
  }

  /** Returns the number of tokens of the prompt's prefix that the endpoint is expected to have cached. */
  cachedTokens(address: Address, blockHashes: readonly string[]): number {
    const cache = this.cacheByAddress.get(address);
    if (cache === undefined) return 0;
    let tokens = 0;
    for (const hash of blockHashes) {
      const generation = this.holdersByBlock.get(hash)?.get(address);
      if (generation === undefined) break;
      const weight = generation === cache.generation ? 1 : STALE_BLOCK_WEIGHT;
      tokens += BLOCK_TOKENS * weight;
    }
    return tokens;
  }

  /** Returns up to `count` endpoints that hold blocks of the prompt, those that hold the last of them first. */
  holders(blockHashes: readonly string[], count: number): readonly Address[] {
    const addresses = new Set<Address>();
    for (
      let blockIndex = blockHashes.length - 1;
      blockIndex >= 0;
      blockIndex -= 1
    ) {
      const hash = blockHashes[blockIndex];
      const holders = hash && this.holdersByBlock.get(hash);
      if (!holders) continue;
      for (const address of holders.keys()) {
        addresses.add(address);
        if (addresses.size === count) return [...addresses];
      }
    }
    return [...addresses];
  }

  private applyEvent(address: Address, event: CacheEvent): void {
    switch (event.kind) {
      case CacheEventKind.Stored:
        this.addBlocks(address, event.blockHashes);
        return;
      case CacheEventKind.Evicted:
        this.removeBlocks(address, event.blockHashes);
        for (const hash of event.blockHashes)
          this.lastEvictorByBlock.set(hash, address);
        return;
      case CacheEventKind.Gap:
        return;
    }
  }

  private cacheOf(address: Address): EndpointCache {
    let cache = this.cacheByAddress.get(address);
    if (cache === undefined) {
      cache = { generation: 0, lastSequence: 0, blocks: new Set() };
      this.cacheByAddress.set(address, cache);
    }
    return cache;
  }

  private addBlock(address: Address, cache: EndpointCache, hash: string): void {
    const holders = this.holdersByBlock.get(hash) ?? new Map<Address, number>();
    this.holdersByBlock.delete(hash);
    this.holdersByBlock.set(hash, holders);
    if (!holders.has(address) && holders.size >= MAX_HOLDERS_PER_BLOCK) return;
    holders.set(address, cache.generation);
    cache.blocks.add(hash);
    this.dropOldestBlocks();
  }

  private removeBlock(address: Address, hash: string): void {
    this.cacheByAddress.get(address)?.blocks.delete(hash);
    this.removeHolder(address, hash);
  }

  private removeHolder(address: Address, hash: string): void {
    const holders = this.holdersByBlock.get(hash);
    holders?.delete(address);
    if (holders?.size === 0) this.holdersByBlock.delete(hash);
  }

  private dropOldestBlocks(): void {
    for (const [hash, holders] of this.holdersByBlock) {
      if (this.holdersByBlock.size <= this.maxBlocks) return;
      this.holdersByBlock.delete(hash);
      for (const address of holders.keys()) {
        this.cacheByAddress.get(address)?.blocks.delete(hash);
      }
    }
  }
}
