import type { ChatMessage } from '@skylarkreach/core/ports';
import { promptTextOf, SeededRandom } from '@skylarkreach/core/ports';

const WORDS = [
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
const ANSWER_TOKEN_SPREAD = 64;

/**
 * The answer that the stand-in engine gives to a prompt, one word a token.
 * It depends on the messages alone, so that a checker can tell a whole answer.
 */
export function answerTokens(messages: readonly ChatMessage[]): string[] {
  const random = new SeededRandom(seedOf(promptTextOf(messages)));
  const length = MIN_ANSWER_TOKENS + random.nextInteger(ANSWER_TOKEN_SPREAD);
  return Array.from(
    { length },
    (_, index) => `${WORDS[random.nextInteger(WORDS.length)] ?? ''}${index} `,
  );
}

/** FNV-1a hash of a text as a 32-bit seed. */
function seedOf(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  return hash | 0;
}
