import type { Address, CacheEvent } from '../ports/index.js';
import { BLOCK_TOKENS, CacheEventKind } from '../ports/index.js';
import { BoundedMap } from './bounded-map.js';

const MAX_HOLDERS = 16;
const STALE_TRUST = 0.5;
const DEFAULT_MAX_BLOCKS = 65_536;

/** What the index knows of one endpoint's cache. */
interface CacheView {
  /** Rises with every gap; blocks of an earlier generation are stale. */
  generation: number;
  lastSequence: number;
  readonly blocks: Set<string>;
}

/** Generation under which each endpoint was last seen to hold the block. */
type Holders = Map<Address, number>;

/**
 * Approximate index of which endpoint caches which prompt prefix, fed by late
 * cache events and by this daemon's own dispatches. After a gap in the events,
 * older blocks count for half until an event or an answer confirms them. Bounded
 * in blocks and in holders of a block; the least recently seen block goes first.
 */
export class PrefixIndex {
  private readonly views = new Map<Address, CacheView>();
  private readonly holdersByBlock = new Map<string, Holders>();
  private readonly evictors: BoundedMap<string, Address>;

  constructor(private readonly maxBlocks = DEFAULT_MAX_BLOCKS) {
    this.evictors = new BoundedMap(maxBlocks);
  }

  get blockCount(): number {
    return this.holdersByBlock.size;
  }

  /**
   * Applies events of one endpoint; a skipped sequence number is a gap. Events
   * that start at one seen before are a resync: they are replayed, and blocks
   * that they do not name become stale.
   */
  apply(address: Address, events: readonly CacheEvent[]): void {
    const view = this.viewOf(address);
    const first = events[0]?.sequence;
    if (first !== undefined && first <= view.lastSequence) {
      view.generation += 1;
      view.lastSequence = first - 1;
    }
    for (const event of events) {
      const isNext = event.sequence === view.lastSequence + 1;
      if (!isNext || event.kind === CacheEventKind.Gap) view.generation += 1;
      view.lastSequence = event.sequence;
      this.applyBlocks(address, event);
    }
  }

  /** Blocks that the endpoint is not known to hold. */
  missing(address: Address, blockHashes: readonly string[]): readonly string[] {
    const view = this.viewOf(address);
    return blockHashes.filter(hash => !view.blocks.has(hash));
  }

  /** Notes that an endpoint holds the blocks, or soon will. */
  confirm(address: Address, blockHashes: readonly string[]): void {
    const view = this.viewOf(address);
    for (const hash of blockHashes) this.put(address, view, hash);
  }

  /** Forgets blocks that an endpoint turned out not to hold. */
  refute(address: Address, blockHashes: readonly string[]): void {
    for (const hash of blockHashes) this.remove(address, hash);
  }

  /** The endpoint that evicted the block last. */
  evictedBy(blockHash: string): Address | undefined {
    return this.evictors.get(blockHash);
  }

  forgetEndpoint(address: Address): void {
    for (const hash of this.views.get(address)?.blocks ?? []) {
      this.removeHolder(address, hash);
    }
    this.views.delete(address);
  }

  /** Tokens of the prompt's prefix that the endpoint is expected to have cached. */
  cachedTokens(address: Address, blockHashes: readonly string[]): number {
    const view = this.views.get(address);
    if (view === undefined) return 0;
    let tokens = 0;
    for (const hash of blockHashes) {
      const generation = this.holdersByBlock.get(hash)?.get(address);
      if (generation === undefined) break;
      const trust = generation === view.generation ? 1 : STALE_TRUST;
      tokens += BLOCK_TOKENS * trust;
    }
    return tokens;
  }

  /** Up to `count` endpoints that hold the prompt's deepest known blocks. */
  holders(blockHashes: readonly string[], count: number): readonly Address[] {
    const found = new Set<Address>();
    for (let depth = blockHashes.length - 1; depth >= 0; depth -= 1) {
      const hash = blockHashes[depth];
      const holders = hash && this.holdersByBlock.get(hash);
      if (!holders) continue;
      for (const address of holders.keys()) {
        found.add(address);
        if (found.size === count) return [...found];
      }
    }
    return [...found];
  }

  private applyBlocks(address: Address, event: CacheEvent): void {
    switch (event.kind) {
      case CacheEventKind.Stored:
        this.confirm(address, event.blockHashes);
        return;
      case CacheEventKind.Evicted:
        this.refute(address, event.blockHashes);
        for (const hash of event.blockHashes) this.evictors.set(hash, address);
        return;
      case CacheEventKind.Gap:
        return;
    }
  }

  private viewOf(address: Address): CacheView {
    let view = this.views.get(address);
    if (view === undefined) {
      view = { generation: 0, lastSequence: 0, blocks: new Set() };
      this.views.set(address, view);
    }
    return view;
  }

  private put(address: Address, view: CacheView, hash: string): void {
    const holders = this.holdersByBlock.get(hash) ?? new Map<Address, number>();
    this.holdersByBlock.delete(hash);
    this.holdersByBlock.set(hash, holders);
    if (!holders.has(address) && holders.size >= MAX_HOLDERS) return;
    holders.set(address, view.generation);
    view.blocks.add(hash);
    this.trim();
  }

  private remove(address: Address, hash: string): void {
    this.views.get(address)?.blocks.delete(hash);
    this.removeHolder(address, hash);
  }

  private removeHolder(address: Address, hash: string): void {
    const holders = this.holdersByBlock.get(hash);
    holders?.delete(address);
    if (holders?.size === 0) this.holdersByBlock.delete(hash);
  }

  private trim(): void {
    for (const [hash, holders] of this.holdersByBlock) {
      if (this.holdersByBlock.size <= this.maxBlocks) return;
      this.holdersByBlock.delete(hash);
      for (const address of holders.keys()) {
        this.views.get(address)?.blocks.delete(hash);
      }
    }
  }
}
