import type { PromptPart } from './forward-request.js';

/** Most parts remembered for one endpoint. */
const MAX_PARTS = 8_192; // bounds memory; at 100 tokens a part it covers 800,000 tokens

/** Parts of prompts that an endpoint is believed to hold; the least recently used yield. */
export class PromptCache {
  private readonly tokensById = new Map<string, number>();
  private heldTokens = 0;

  /** `maxTokens` is the memory of the endpoint. */
  constructor(private readonly maxTokens: number) {}

  /** Tokens of the prompt that the endpoint would have to read. */
  uncachedTokens(parts: readonly PromptPart[]): number {
    const firstMissing = parts.findIndex(part => !this.tokensById.has(part.id));
    if (firstMissing < 0) return 0;
    return sumTokens(parts.slice(firstMissing));
  }

  /** Notes that the endpoint reads the prompt. */
  add(parts: readonly PromptPart[]): void {
    for (const part of parts) {
      this.remove(part.id);
      this.tokensById.set(part.id, part.tokens);
      this.heldTokens += part.tokens;
    }
    for (const id of this.tokensById.keys()) {
      const isFull =
        this.heldTokens > this.maxTokens || this.tokensById.size > MAX_PARTS;
      if (!isFull) return;
      this.remove(id);
    }
  }

  private remove(id: string): void {
    this.heldTokens -= this.tokensById.get(id) ?? 0;
    this.tokensById.delete(id);
  }
}

/** Tokens of all parts together. */
export function sumTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, part) => sum + part.tokens, 0);
}
