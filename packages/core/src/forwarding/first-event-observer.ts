import type { Clock } from '../ports/index.js';
import type { DispatchGate } from './dispatch-gate.js';
import type { UsageCounter } from './forwarder.js';
import type { RunContext } from './run-context.js';
import type { RunRecord } from './run-record.js';

/** First event of a stream, or whole plain response, that a caller of this daemon gets. */
export interface ObservedFirstEvent {
  readonly group: string;
  readonly latencyObjectiveMs: number;
  /** Time since the request was received. */
  readonly elapsedMs: number;
  /** Of this, the time in which this daemon had not yet sent the request, except where it waited for capacity. */
  readonly dispatchDelayMs: number;
}

/** Receives the first event of each request that this daemon has taken from a caller. */
export interface FirstEventObserver {
  record(event: ObservedFirstEvent): void;
}

interface FirstEventDependencies {
  readonly clock: Clock;
  readonly usageCounter: UsageCounter;
  readonly dispatchGate?: DispatchGate | undefined;
  readonly firstEvents?: FirstEventObserver | undefined;
}

/** Counts the first event of a request for its workspace and its group; `startedAgoMs` is the time since the endpoint started the request. */
export function countFirstEvent(
  { clock, dispatchGate, firstEvents, usageCounter }: FirstEventDependencies,
  { group, request, resolved }: RunContext,
  { firstDispatchedAfterMs = 0, lastPeerId }: RunRecord,
  startedAgoMs: number,
): void {
  const { route, workspace } = resolved;
  if (workspace !== undefined)
    usageCounter.count(workspace.workspace, startedAgoMs);
  // The time through a peer depends on the link to it more than on endpoints.
  if (lastPeerId !== undefined) return;
  firstEvents?.record({
    group,
    latencyObjectiveMs: route.latencyObjectiveMs,
    elapsedMs: clock.nowMs() - request.receivedAtMs,
    dispatchDelayMs: dispatchGate === undefined ? firstDispatchedAfterMs : 0,
  });
}
