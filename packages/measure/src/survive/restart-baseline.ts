import type { GenerateRequest } from '@skylarkreach/core/ports';
import {
  EngineEventKind,
  estimateTokens,
  Priority,
  promptTextOf,
} from '@skylarkreach/core/ports';
import type { RouteRequest } from '@skylarkreach/core/routing';
import {
  DEFAULT_STREAM_POLICY,
  StallDetector,
} from '@skylarkreach/core/streams';

import type { TracedRequest } from './trace.js';
import { GROUP } from './trace.js';
import type { World } from './simulated-platform.js';

const RETRY_DELAY_MS = 100;

/** Serves a request by starting from nothing whenever its stream ends early. */
export async function restartUntilWhole(
  traced: TracedRequest,
  world: World,
): Promise<boolean> {
  const { clock } = world;
  const { call } = traced;
  const deadlineAtMs = call.deadlineAtMs ?? 0;
  await clock.waitUntil(traced.arrivesAtMs);
  for (let attempt = 1; clock.nowMs() < deadlineAtMs; attempt += 1) {
    if (await tryOnce(traced, world, attempt)) return true;
    await clock.waitUntil(clock.nowMs() + RETRY_DELAY_MS);
  }
  return false;
}

async function tryOnce(
  traced: TracedRequest,
  world: World,
  attempt: number,
): Promise<boolean> {
  const { clock, engine, router } = world;
  const request = generateRequest(traced, attempt);
  const route = routeRequest(traced);
  const endpoint = router.choose(route);
  if (endpoint === undefined) return false;
  const { address } = endpoint;
  const routed = { attemptId: request.streamId, address, request: route };
  router.recordDispatch(routed);
  const nextSilenceAtMs = () =>
    clock.nowMs() + DEFAULT_STREAM_POLICY.stallTimeoutMs;
  const guard = new StallDetector(clock, nextSilenceAtMs());
  try {
    let nextToken = 0;
    for await (const event of engine.generate(address, request, guard.signal)) {
      guard.extendDeadline(nextSilenceAtMs());
      if (event.streamId !== request.streamId) continue;
      if (event.kind === EngineEventKind.Finish) {
        return event.totalTokens === nextToken;
      }
      if (event.tokenOffset === nextToken) nextToken += event.tokens;
    }
    return false;
  } catch {
    return false;
  } finally {
    guard.stop();
    router.recordEnd(routed);
  }
}

function generateRequest(
  { call, workspace }: TracedRequest,
  attempt: number,
): GenerateRequest {
  return {
    streamId: `${workspace}.${call.requestId}.${attempt}`,
    model: GROUP,
    messages: call.messages,
    maxTokens: call.maxTokens,
    sentText: '',
    sentTokens: 0,
    priority: Priority.Standard,
    deadlineAtMs: call.deadlineAtMs ?? 0,
  };
}

function routeRequest({ call, workspace }: TracedRequest): RouteRequest {
  const promptText = promptTextOf(call.messages);
  return {
    requestId: call.requestId,
    workspace,
    kind: call.kind,
    group: GROUP,
    promptText,
    promptTokens: estimateTokens(promptText),
    maxTokens: call.maxTokens,
    priority: Priority.Standard,
    deadlineAtMs: call.deadlineAtMs ?? 0,
    excluded: new Set(),
    avoidedDataCentres: new Set(),
  };
}
