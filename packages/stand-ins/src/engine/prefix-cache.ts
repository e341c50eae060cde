import type { CacheEvent } from '@skylarkreach/core/ports';
import { BLOCK_TOKENS, CacheEventKind } from '@skylarkreach/core/ports';

/** Maximum number of retained events; a reader that falls further behind receives a gap event. */
const MAX_RETAINED_EVENTS = 1_000;

/** LRU cache of prompt prefix blocks with a capacity in tokens. */
export class PrefixCache {
  /** Block hashes, least recently used first. */
  private readonly blocks = new Set<string>();
  private events: CacheEvent[] = [];
  private sequence = 0;

  constructor(private readonly capacityTokens: number) {}

  get usedTokens(): number {
    return this.blocks.size * BLOCK_TOKENS;
  }

  /** Returns the number of tokens in the longest cached prefix of the blocks. */
  cachedPrefixTokens(hashes: readonly string[]): number {
    const firstMissing = hashes.findIndex(hash => !this.blocks.has(hash));
    const cached = firstMissing === -1 ? hashes.length : firstMissing;
    return cached * BLOCK_TOKENS;
  }

  /** Marks blocks as recently used, stores the missing ones and evicts down to the capacity. */
  store(hashes: readonly string[]): void {
    const missing = hashes.filter(hash => !this.blocks.has(hash));
    for (const hash of hashes) {
      this.blocks.delete(hash);
      this.blocks.add(hash);
    }
    if (missing.length > 0) this.recordEvent(CacheEventKind.Stored, missing);
    this.evictToCapacity();
  }

  /** Returns the events after a sequence number, preceded by a gap event if some are no longer retained. */
  eventsAfter(sequence: number): readonly CacheEvent[] {
    const laterEvents = this.events.filter(event => event.sequence > sequence);
    const firstRetained = this.events[0]?.sequence ?? this.sequence + 1;
    if (firstRetained <= sequence + 1) return laterEvents;
    const gap: CacheEvent = {
      sequence: firstRetained - 1,
      kind: CacheEventKind.Gap,
      blockHashes: [],
    };
    return [gap, ...laterEvents];
  }

  private evictToCapacity(): void {
    const evicted: string[] = [];
    for (const hash of this.blocks) {
      if (this.usedTokens <= this.capacityTokens) break;
      this.blocks.delete(hash);
      evicted.push(hash);
    }
    if (evicted.length > 0) this.recordEvent(CacheEventKind.Evicted, evicted);
  }

  private recordEvent(
    kind: CacheEventKind,
    blockHashes: readonly string[],
  ): void {
    this.sequence += 1;
    this.events.push({ sequence: this.sequence, kind, blockHashes });
    if (this.events.length > MAX_RETAINED_EVENTS) this.events.shift();
  }
}
