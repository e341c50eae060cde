import type { CacheEvent } from '@skylarkreach/core/ports';
import { BLOCK_TOKENS, CacheEventKind } from '@skylarkreach/core/ports';

/** Events kept for readers; a reader that falls behind sees a gap. */
const MAX_KEPT_EVENTS = 1_000;

/** Prefix cache of bounded size that evicts the least recently used block. */
export class PrefixCache {
  /** Block hashes, least recently used first. */
  private readonly blocks = new Set<string>();
  private events: CacheEvent[] = [];
  private sequence = 0;

  constructor(private readonly limitTokens: number) {}

  get usedTokens(): number {
    return this.blocks.size * BLOCK_TOKENS;
  }

  /** Tokens of the prompt's prefix that are cached. */
  cachedTokens(hashes: readonly string[]): number {
    const firstMissing = hashes.findIndex(hash => !this.blocks.has(hash));
    const cached = firstMissing === -1 ? hashes.length : firstMissing;
    return cached * BLOCK_TOKENS;
  }

  /** Marks the blocks as used and stores those that are missing. */
  store(hashes: readonly string[]): void {
    const missing = hashes.filter(hash => !this.blocks.has(hash));
    for (const hash of hashes) {
      this.blocks.delete(hash);
      this.blocks.add(hash);
    }
    if (missing.length > 0) this.publish(CacheEventKind.Stored, missing);
    this.evict();
  }

  /** Events after the sequence; a gap first where some are no longer kept. */
  eventsAfter(sequence: number): readonly CacheEvent[] {
    const later = this.events.filter(event => event.sequence > sequence);
    const firstKept = this.events[0]?.sequence ?? this.sequence + 1;
    if (firstKept <= sequence + 1) return later;
    const gap: CacheEvent = {
      sequence: firstKept - 1,
      kind: CacheEventKind.Gap,
      blockHashes: [],
    };
    return [gap, ...later];
  }

  private evict(): void {
    const evicted: string[] = [];
    for (const hash of this.blocks) {
      if (this.usedTokens <= this.limitTokens) break;
      this.blocks.delete(hash);
      evicted.push(hash);
    }
    if (evicted.length > 0) this.publish(CacheEventKind.Evicted, evicted);
  }

  private publish(kind: CacheEventKind, blockHashes: readonly string[]): void {
    this.sequence += 1;
    this.events.push({ sequence: this.sequence, kind, blockHashes });
    if (this.events.length > MAX_KEPT_EVENTS) this.events.shift();
  }
}
