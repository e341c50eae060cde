import xxhash from 'xxhash-wasm';

import type { ChatMessage } from './engine.js';

/** Characters of prompt text in one block of the prefix cache. */
export const BLOCK_CHARACTERS = 256;

/** Characters that one token stands for on average. */
export const CHARACTERS_PER_TOKEN = 4;

export const BLOCK_TOKENS = BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;

const hasher = await xxhash();

/** Prompt text as an engine sees it: the messages in order, with their roles. */
export function promptTextOf(messages: readonly ChatMessage[]): string {
  return messages
    .map(message => `${message.role}: ${message.content}\n`)
    .join('');
}

/** Tokens of a text, estimated from its length. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

/**
 * Names of the full blocks of a prompt, in order. Each name is an XXH64 hash
 * chained over all blocks before it, so that equal names mean equal prefixes.
 */
export function promptBlockHashes(promptText: string): readonly string[] {
  const hashes: string[] = [];
  let previous = '';
  const fullBlocks = Math.floor(promptText.length / BLOCK_CHARACTERS);
  for (let block = 0; block < fullBlocks; block += 1) {
    const start = block * BLOCK_CHARACTERS;
    const text = promptText.slice(start, start + BLOCK_CHARACTERS);
    previous = hasher.h64ToString(previous + text);
    hashes.push(previous);
  }
  return hashes;
}
