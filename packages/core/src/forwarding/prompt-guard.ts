import type { PromptPart } from './forward-request.js';

/** Keeps prompts that crash endpoints away from them. The last part of a prompt is never at fault: no other request has it. */
export interface PromptGuard {
  /** Returns the time for which requests with one of the parts are still rejected; undefined if they are not. */
  blockedForMs(parts: readonly PromptPart[]): number | undefined;
  /** Records that an endpoint crashed as it began to respond to the prompt. */
  recordCrash(endpointId: string, parts: readonly PromptPart[]): void;
  /** Records that an endpoint completed its response to the prompt. */
  recordCompleted(parts: readonly PromptPart[]): void;
}
