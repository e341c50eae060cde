import { z } from 'zod';

import { notRunError, RequestErrorKind } from '@skylarkreach/core/pipeline';
import type { ChatMessage } from '@skylarkreach/core/ports';

const DEFAULT_MAX_TOKENS = 1_024;

const chatSchema = z.object({
  model: z.string().optional(),
  messages: z
    .array(z.object({ role: z.string(), content: z.string() }))
    .min(1, 'at least one message'),
  max_tokens: z.int().positive().optional(),
  stream: z.boolean().optional(),
  received_text: z.string().optional(),
});

/** Body of a chat completion request in the OpenAI format. */
export interface ChatBody {
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  readonly stream: boolean;
  /** Text that the caller has received of an interrupted answer. */
  readonly receivedText: string | undefined;
}

/** Parses a chat completion body. Throws `RequestError`. */
export function parseChatBody(text: string, maxTokensLimit: number): ChatBody {
  const parsed = chatSchema.safeParse(parseJson(text));
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    throw notRunError(
      RequestErrorKind.BadRequest,
      `Field ${issue?.path.join('.') ?? ''} is invalid: ${issue?.message ?? ''}.`,
      'Send an OpenAI chat completion body.',
    );
  }
  const { max_tokens, messages, received_text, stream } = parsed.data;
  return {
    messages,
    maxTokens: Math.min(max_tokens ?? DEFAULT_MAX_TOKENS, maxTokensLimit),
    stream: stream ?? false,
    receivedText: received_text,
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw notRunError(
      RequestErrorKind.BadRequest,
      'The body is not JSON.',
      'Send a JSON object in UTF-8.',
    );
  }
}
