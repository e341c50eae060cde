import { createHash } from 'node:crypto';

import type { ConnectionPlan } from '@skylarkreach/core/fakes';
import { HEALTHY_CONNECTION, StreamFault } from '@skylarkreach/core/fakes';
import type { ModelCall } from '@skylarkreach/core/pipeline';
import type { Endpoint, Random } from '@skylarkreach/core/ports';
import {
  EndpointKind,
  EndpointStage,
  SeededRandom,
} from '@skylarkreach/core/ports';

export const GROUP = 'model';
export const DATA_CENTRES = ['north-1', 'north-2', 'north-3', 'north-4'];
export const MS_PER_TOKEN = 44;
export const WORKSPACES = ['northside', 'southside', 'westside'];

const ENDPOINTS_PER_DATA_CENTRE = 3;
const ARRIVAL_WINDOW_MS = 20_000;
const REQUEST_TIMEOUT_MS = 100_000;
const MIN_TOKENS = 20;
const TOKENS_SPREAD = 300;
const FAULT_PROBABILITY = 0.15;
const FAULT_OFFSET_RANGE_TOKENS = 100;
const FAULTS = Object.values(StreamFault);

/** Reclaim of all instances of one data centre. */
export interface Wave {
  readonly dataCentre: string;
  readonly noticeAtMs: number;
  readonly reclaimAtMs: number;
  /** Time at which the replacement instances are listed. */
  readonly replacementsListedAtMs: number;
}

/** Waves of the trace: the second falls within the first, and the last has no advance notice. */
export const WAVES: readonly Wave[] = [
  createWave('north-1', 4_000, 6_000),
  createWave('north-2', 5_000, 5_600),
  createWave('north-3', 14_000, 14_000),
];

/** Time by which every request of the trace has reached its deadline. */
export const TRACE_END_MS = ARRIVAL_WINDOW_MS + REQUEST_TIMEOUT_MS;

/** Request of the trace. */
export interface TracedRequest {
  readonly arrivesAtMs: number;
  readonly workspace: string;
  readonly call: ModelCall;
}

/** Returns requests with pseudorandom output sizes and arrival times. */
export function createRequests(
  seed: number,
  count: number,
): readonly TracedRequest[] {
  const random = new SeededRandom(seed);
  return Array.from({ length: count }, (_, index) => {
    const arrivesAtMs = random.nextInteger(ARRIVAL_WINDOW_MS);
    const workspace = WORKSPACES[index % WORKSPACES.length] ?? '';
    const content = `${workspace}-${index}`;
    return {
      arrivesAtMs,
      workspace,
      call: {
        // Workspaces choose request ids independently, so ids repeat across workspaces.
        requestId: `request-${Math.floor(index / WORKSPACES.length)}`,
        bearerToken: createBearerToken(workspace),
        kind: 'chat',
        deadlineAtMs: arrivesAtMs + REQUEST_TIMEOUT_MS,
        idempotencyKey: undefined,
        messages: [{ role: 'user', content }],
        maxTokens: MIN_TOKENS + random.nextInteger(TOKENS_SPREAD),
      },
    };
  });
}

/** Returns the endpoints of a data centre; every generation has new instances. */
export function createEndpoints(
  dataCentre: string,
  generation: number,
): Endpoint[] {
  return Array.from({ length: ENDPOINTS_PER_DATA_CENTRE }, (_, index) => {
    const instanceId = `${dataCentre}.${generation}.${index}`;
    return {
      address: instanceId,
      kind: EndpointKind.Model,
      group: GROUP,
      version: 'v1',
      stage: EndpointStage.Ready,
      dataCentre,
      instanceId,
    };
  });
}

/** Draws the fault of one connection; healthy unless a fault occurs. */
export function drawFault(random: Random): ConnectionPlan {
  const fault = FAULTS[random.nextInteger(FAULTS.length)];
  const afterTokens = random.nextInteger(FAULT_OFFSET_RANGE_TOKENS);
  const isFaulty = random.nextFloat() < FAULT_PROBABILITY;
  return isFaulty && fault !== undefined
    ? { fault, afterTokens }
    : HEALTHY_CONNECTION;
}

export function createBearerToken(workspace: string): string {
  return `token-of-${workspace}`;
}

export function hashBearerToken(workspace: string): string {
  return createHash('sha256')
    .update(createBearerToken(workspace))
    .digest('hex');
}

function createWave(
  dataCentre: string,
  noticeAtMs: number,
  reclaimAtMs: number,
): Wave {
  const replacedAtMs = reclaimAtMs + 5_000;
  return {
    dataCentre,
    noticeAtMs,
    reclaimAtMs,
    replacementsListedAtMs: replacedAtMs,
  };
}
