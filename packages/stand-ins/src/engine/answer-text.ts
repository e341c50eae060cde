import type { ChatMessage } from '@skylarkreach/core/ports';
import { promptTextOf, SeededRandom } from '@skylarkreach/core/ports';

const VOCABULARY = [
  'the',
  'entry',
  'balances',
  'against',
  'account',
  'after',
  'review',
  'of',
  'each',
  'line',
  'and',
  'its',
  'date',
  'with',
  'no',
  'change',
];
const MIN_ANSWER_TOKENS = 24;
const ANSWER_TOKEN_RANGE = 64;

/**
 * Returns the tokens that the stand-in engine generates for a prompt, one word
 * per token. The result depends only on the messages, so that a checker can
 * verify that an answer is complete.
 */
export function answerTokens(messages: readonly ChatMessage[]): string[] {
  const random = new SeededRandom(hashToSeed(promptTextOf(messages)));
  const length = MIN_ANSWER_TOKENS + random.nextInteger(ANSWER_TOKEN_RANGE);
  return Array.from(
    { length },
    (_, index) =>
      `${VOCABULARY[random.nextInteger(VOCABULARY.length)] ?? ''}${index} `,
  );
}

/** Returns the 32-bit FNV-1a hash of a text. */
function hashToSeed(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  return hash | 0;
}
