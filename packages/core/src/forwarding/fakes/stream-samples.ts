import { RouteType } from '../index.js';
import { sampleRoute } from './samples.js';
import type { ScriptedResponse } from './scripted-upstream.js';

/** Resumable streams with up to two attempts. */
export const draftRoute = sampleRoute({
  name: 'drafts',
  pathPrefix: '/drafts/',
  type: RouteType.Streaming,
  isResumable: true,
  timeoutMs: 8_000,
  latencyObjectiveMs: 800,
});

export function eventText(...ids: readonly number[]): string {
  return ids.map(id => `id: ${id}\ndata: x\n\n`).join('');
}

/** Response whose body is an event stream of the given events. */
export function streamOf(
  ids: readonly number[],
  rest: Partial<ScriptedResponse> = {},
): ScriptedResponse {
  const metadata = { isEventStream: true };
  return { metadata, chunks: [eventText(...ids)], ...rest };
}
