import type { LossRecord, ProcessCall, SoakAct } from './loss-checks.js';
import { ActKind } from './loss-checks.js';

/** Time by which a refusal or a dispatch may be seen later than the daemon decided on it. */
const LATE_SLACK_MS = 200;
const REFUSALS: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Acts during which a daemon makes no decision, or a link holds back what it has sent. */
const PAUSES: ReadonlySet<ActKind> = new Set([
  ActKind.Freeze,
  ActKind.HoldUp,
  ActKind.EndpointLink,
]);

/** Returns a line for each request that was neither answered nor sent to an endpoint by its deadline. */
export function findLateWaits(record: LossRecord): readonly string[] {
  return record.calls.flatMap(call => {
    const { deadlineAtMs, endedAtMs, id, status } = call;
    const runs = record.runs.filter(({ requestId }) => requestId === id);
    const isRefused = runs.length === 0 || REFUSALS.has(status ?? 0);
    const leftAtMs = Math.min(
      ...runs.map(({ atMs }) => atMs),
      isRefused ? endedAtMs : Infinity,
    );
    const lateMs = Math.round(leftAtMs - deadlineAtMs);
    const subjects = [call.gatewayId, ...runs.map(run => run.endpointId)];
    const pauses = record.acts.filter(
      ({ kind, subject }) => PAUSES.has(kind) && subjects.includes(subject),
    );
    const excusedMs = overlapMs(pauses, call) + processorWaitMs(call, record);
    return lateMs <= LATE_SLACK_MS + excusedMs
      ? []
      : [`${id} waited until ${lateMs} ms after its deadline`];
  });
}

/** Returns a line for each request that was refused as not run and that an endpoint ran. */
export function findRefusedRuns({
  calls,
  runs,
}: LossRecord): readonly string[] {
  const endpoints = new Map(
    runs.map(({ endpointId, requestId }) => [requestId, endpointId]),
  );
  return calls
    .filter(({ status }) => REFUSALS.has(status ?? 0))
    .filter(({ id }) => endpoints.has(id))
    .map(
      ({ id, status }) =>
        `${id} was refused with ${status} and ran at ${endpoints.get(id)}`,
    );
}

/** Returns the time for which the daemon waited for a processor in the probes during the request. */
function processorWaitMs(
  { endedAtMs, gatewayId, startedAtMs }: ProcessCall,
  { acts }: LossRecord,
): number {
  return acts
    .filter(
      ({ kind, subject }) => kind === ActKind.Probe && subject === gatewayId,
    )
    .filter(
      ({ fromMs, untilMs }) => fromMs < endedAtMs && untilMs > startedAtMs,
    )
    .reduce((sumMs, act) => sumMs + (act.processorWaitMs ?? 0), 0);
}

/** Returns the sum of the acts' times while the request was in progress. */
function overlapMs(
  acts: readonly SoakAct[],
  { endedAtMs, startedAtMs }: ProcessCall,
): number {
  return acts
    .map(
      ({ fromMs, untilMs }) =>
        Math.min(untilMs, endedAtMs) - Math.max(fromMs, startedAtMs),
    )
    .filter(ms => ms > 0)
    .reduce((sumMs, ms) => sumMs + ms, 0);
}
