import type { EngineChunk, EngineFinish } from '@skylarkreach/core/ports';

/** What every chunk and answer of one completion carries. */
export interface CompletionHeader {
  readonly id: string;
  readonly model: string;
  readonly createdAtMs: number;
}

/** One streamed chunk in the OpenAI form. */
export function chunkBody(
  header: CompletionHeader,
  chunk: EngineChunk,
): string {
  return JSON.stringify({
    ...base(header, 'chat.completion.chunk'),
    choices: [
      { index: 0, delta: { content: chunk.text }, finish_reason: null },
    ],
  });
}

/** The last chunk of a stream, with its usage. */
export function finishBody(
  header: CompletionHeader,
  finish: EngineFinish,
): string {
  return JSON.stringify({
    ...base(header, 'chat.completion.chunk'),
    choices: [{ index: 0, delta: {}, finish_reason: finish.reason }],
    usage: usageOf(finish),
  });
}

/** A whole answer in the OpenAI form. */
export function completionBody(
  header: CompletionHeader,
  content: string,
  finish: EngineFinish,
): string {
  const message = { role: 'assistant', content };
  return JSON.stringify({
    ...base(header, 'chat.completion'),
    choices: [{ index: 0, message, finish_reason: finish.reason }],
    usage: usageOf(finish),
  });
}

function base(header: CompletionHeader, object: string) {
  return {
    id: header.id,
    object,
    created: Math.floor(header.createdAtMs / 1_000),
    model: header.model,
  };
}

function usageOf(finish: EngineFinish) {
  return {
    prompt_tokens: finish.promptTokens,
    completion_tokens: finish.totalTokens,
    total_tokens: finish.promptTokens + finish.totalTokens,
    prompt_tokens_details: { cached_tokens: finish.cachedTokens },
  };
}
