import type { PromptPart } from './forward-request.js';

/** Maximum number of prompt parts tracked per endpoint. */
const MAX_PARTS = 8_192; // bounds memory; covers 800,000 tokens at 100 tokens per part

/** LRU model of the prompt parts that an endpoint has cached. */
export class PromptCache {
  private readonly tokensById = new Map<string, number>();
  private cachedTokens = 0;

  /** `maxTokens` returns the cache capacity of the endpoint, which operators may change. */
  constructor(private readonly maxTokens: () => number) {}

  /** Returns the tokens of the prompt after its longest cached prefix. */
  uncachedTokens(parts: readonly PromptPart[]): number {
    let uncached = 0;
    let isCached = true;
    for (const { id, tokens } of parts) {
      isCached &&= this.tokensById.has(id);
      if (!isCached) uncached += tokens;
    }
    return uncached;
  }

  /** Records that the endpoint caches the prompt, and evicts the least recently used parts. */
  add(parts: readonly PromptPart[]): void {
    for (const part of parts) {
      this.remove(part.id);
      this.tokensById.set(part.id, part.tokens);
      this.cachedTokens += part.tokens;
    }
    const maxTokens = this.maxTokens();
    for (const id of this.tokensById.keys()) {
      const isFull =
        this.cachedTokens > maxTokens || this.tokensById.size > MAX_PARTS;
      if (!isFull) return;
      this.remove(id);
    }
  }

  private remove(id: string): void {
    this.cachedTokens -= this.tokensById.get(id) ?? 0;
    this.tokensById.delete(id);
  }
}

/** Returns the total tokens of the parts. */
export function sumTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, part) => sum + part.tokens, 0);
}
