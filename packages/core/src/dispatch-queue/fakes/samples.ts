import type { GatedCall, GroupRoom } from '../../forwarding/index.js';
import { SeededRandom } from '../../ports/index.js';
import type { QueuedRequest, QueueLimits } from '../index.js';
import { DispatchQueue } from '../index.js';

/** Returns a request that arrived at 0 and can meet its objective until 900 ms. */
export function sampleQueued(
  requestId: string,
  overrides: Partial<QueuedRequest> = {},
): QueuedRequest {
  return {
    requestId,
    workspace: 'kowhai',
    priority: 1,
    receivedAtMs: 0,
    objectiveAtMs: 1_000,
    deadlineAtMs: 4_000,
    expectedServiceMs: 100,
    bytes: 100,
    scope: '',
    ...overrides,
  };
}

/** Returns a call like the sample request. */
export function sampleCall(overrides: Partial<GatedCall> = {}): GatedCall {
  return {
    requestId: 'r',
    group: 'engines',
    route: 'drafts',
    workspace: 'kowhai',
    priority: 1,
    receivedAtMs: 0,
    objectiveAtMs: 1_000,
    deadlineAtMs: 4_000,
    bytes: 100,
    scope: '',
    closedForMs: () => undefined,
    recheck: () => undefined,
    ...overrides,
  };
}

/** Returns the capacity of a group of which no endpoint has reported its load. */
export function sampleRoom(
  totalSlots: number,
  overrides: Partial<GroupRoom> = {},
): GroupRoom {
  const openSlots = totalSlots;
  return { freeSlots: 0, totalSlots, openSlots, isKnown: false, ...overrides };
}

/** Returns the queue of the only daemon. */
export function sampleQueue(limits: Partial<QueueLimits> = {}): DispatchQueue {
  return new DispatchQueue({
    random: new SeededRandom(1),
    limits: () => ({ maxRequests: 256, maxBytes: 1_000_000, ...limits }),
    daemonCount: () => 1,
  });
}
