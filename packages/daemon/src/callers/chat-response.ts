import type { EngineChunk, EngineFinish } from '@skylarkreach/core/ports';

/** Metadata that all chunks and the complete answer of a completion share. */
export interface CompletionMetadata {
  readonly id: string;
  readonly model: string;
  readonly createdAtMs: number;
}

/** Returns the body of a streamed chunk in the OpenAI format. */
export function chunkBody(
  metadata: CompletionMetadata,
  chunk: EngineChunk,
): string {
  return JSON.stringify({
    ...commonFields(metadata, 'chat.completion.chunk'),
    choices: [
      { index: 0, delta: { content: chunk.text }, finish_reason: null },
    ],
  });
}

/** Returns the body of the last chunk of a stream, with the token usage. */
export function finishBody(
  metadata: CompletionMetadata,
  finish: EngineFinish,
): string {
  return JSON.stringify({
    ...commonFields(metadata, 'chat.completion.chunk'),
    choices: [{ index: 0, delta: {}, finish_reason: finish.reason }],
    usage: toUsage(finish),
  });
}

/** Returns the body of a complete answer in the OpenAI format. */
export function completionBody(
  metadata: CompletionMetadata,
  content: string,
  finish: EngineFinish,
): string {
  const message = { role: 'assistant', content };
  return JSON.stringify({
    ...commonFields(metadata, 'chat.completion'),
    choices: [{ index: 0, message, finish_reason: finish.reason }],
    usage: toUsage(finish),
  });
}

function commonFields(metadata: CompletionMetadata, object: string) {
  return {
    id: metadata.id,
    object,
    created: Math.floor(metadata.createdAtMs / 1_000),
    model: metadata.model,
  };
}

function toUsage(finish: EngineFinish) {
  return {
    prompt_tokens: finish.promptTokens,
    completion_tokens: finish.totalTokens,
    total_tokens: finish.promptTokens + finish.totalTokens,
    prompt_tokens_details: { cached_tokens: finish.cachedTokens },
  };
}
