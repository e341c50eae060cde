import type { InFlightLimitState } from './in-flight-limit.js';
import type { QueuedRequest } from './queued-request.js';

/** State of the queue of one group, for the operators. */
export interface QueueState {
  readonly waiting: number;
  readonly waitingBytes: number;
  readonly waitingByWorkspace: Readonly<Record<string, number>>;
  readonly waitingByPriority: Readonly<Record<string, number>>;
  /** Time since the arrival of the oldest waiting request; absent if none waits. */
  readonly oldestWaitedMs?: number;
  /** Rate at which requests leave the queue while others wait; absent if not known. */
  readonly sentPerSecond?: number;
  readonly inFlight: number;
  readonly inFlightLimit: number;
  /** Slots of the group divided by the number of daemons, at the last look at the queue. */
  readonly equalShare: number;
  readonly limit: InFlightLimitState;
}

export interface GroupQueueState extends QueueState {
  readonly group: string;
}

/** Part of the state that the waiting requests give. */
export type WaitingState = Pick<
  QueueState,
  | 'waiting'
  | 'waitingBytes'
  | 'waitingByWorkspace'
  | 'waitingByPriority'
  | 'oldestWaitedMs'
>;

/** Sums up waiting requests. */
export function summarizeWaiting(
  requests: readonly QueuedRequest[],
  nowMs: number,
): WaitingState {
  const receivedAtMs = requests.map(each => each.receivedAtMs);
  return {
    waiting: requests.length,
    waitingBytes: requests.reduce((sum, { bytes }) => sum + bytes, 0),
    waitingByWorkspace: countBy(requests, each => each.workspace),
    waitingByPriority: countBy(requests, each => `${each.priority}`),
    ...(requests.length > 0 && {
      oldestWaitedMs: nowMs - Math.min(...receivedAtMs),
    }),
  };
}

function countBy(
  requests: readonly QueuedRequest[],
  keyOf: (request: QueuedRequest) => string,
): Readonly<Record<string, number>> {
  const counts = new Map<string, number>();
  for (const each of requests)
    counts.set(keyOf(each), (counts.get(keyOf(each)) ?? 0) + 1);
  return Object.fromEntries(counts);
}
