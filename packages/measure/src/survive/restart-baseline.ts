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

import type { SimulatedPlatform } from './simulated-platform.js';
import type { TracedRequest } from './trace.js';
import { GROUP } from './trace.js';

const RETRY_DELAY_MS = 100;

/** Serves a request by restarting it from the beginning whenever its stream ends early; resolves to whether it completed by its deadline. */
export async function restartUntilComplete(
  traced: TracedRequest,
  platform: SimulatedPlatform,
): Promise<boolean> {
  const { clock } = platform;
  const { call } = traced;
  const deadlineAtMs = call.deadlineAtMs ?? 0;
  await clock.waitUntil(traced.arrivesAtMs);
  for (let attempt = 1; clock.nowMs() < deadlineAtMs; attempt += 1) {
    if (await attemptOnce(traced, platform, attempt)) return true;
    await clock.waitUntil(clock.nowMs() + RETRY_DELAY_MS);
  }
  return false;
}

async function attemptOnce(
  traced: TracedRequest,
  platform: SimulatedPlatform,
  attempt: number,
): Promise<boolean> {
  const { clock, engine, router } = platform;
  const request = createGenerateRequest(traced, attempt);
  const route = createRouteRequest(traced);
  const endpoint = router.choose(route);
  if (endpoint === undefined) return false;
  const { address } = endpoint;
  const routedAttempt = {
    attemptId: request.streamId,
    address,
    request: route,
  };
  router.recordDispatch(routedAttempt);
  const nextStallAtMs = () =>
    clock.nowMs() + DEFAULT_STREAM_POLICY.stallTimeoutMs;
  const stallDetector = new StallDetector(clock, nextStallAtMs());
  try {
    let nextToken = 0;
    for await (const event of engine.generate(
      address,
      request,
      stallDetector.signal,
    )) {
      stallDetector.extendDeadline(nextStallAtMs());
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
    stallDetector.stop();
    router.recordEnd(routedAttempt);
  }
}

function createGenerateRequest(
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

function createRouteRequest({ call, workspace }: TracedRequest): RouteRequest {
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
