import xxhash from 'xxhash-wasm';

import type { ChatMessage } from './engine.js';

/** Number of prompt characters in one block of the prefix cache. */
export const BLOCK_CHARACTERS = 256;

/** Average number of characters in one token. */
export const CHARACTERS_PER_TOKEN = 4;

/** Estimated number of tokens in one block of the prefix cache. */
export const BLOCK_TOKENS = BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;

const hasher = await xxhash();

/** Returns the prompt text in the form that engines process: the messages in order, each with its role. */
export function promptTextOf(messages: readonly ChatMessage[]): string {
  return messages
    .map(message => `${message.role}: ${message.content}\n`)
    .join('');
}

/** Estimates the number of tokens of a text from its length. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

/**
 * Returns the hashes of the full blocks of a prompt, in order. Each is an XXH64
 * hash chained over all blocks before it, so that equal hashes mean equal prefixes.
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
