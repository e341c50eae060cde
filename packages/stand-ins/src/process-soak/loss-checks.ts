import type { SoakCall, SoakRun } from '../gateway/index.js';
import { SoakCallKind, STREAMS } from '../gateway/index.js';
import { GRACE_PERIOD_SECONDS } from './daemon-process.js';

/** Bounds that the users state. */
const CONTACT_MS = 3_000;
const LOSS_SLACK_MS = 200;
const LAST_PART_OF_GRACE_MS = (GRACE_PERIOD_SECONDS * 1_000 * 5) / 6;
const SENT_AFTER_STOP_MS = 3_000;
const CONFIG_APPLY_MS = 2_000;
const MAX_STRETCH_MS = 5_000;
const INITIAL_PLAIN_TIMEOUT_MS = 1_500;
/** Error statuses of the daemon's own that a proper request must not get. */
const DENIALS: ReadonlySet<number> = new Set([400, 401, 403, 404, 413, 431]);
/** Error statuses of a daemon that has no response of an endpoint. */
const GATEWAY_ERRORS: ReadonlySet<number> = new Set([502, 504]);

/** What a soak did to the subject of an act. */
export enum ActKind {
  Start = 'start',
  Stop = 'stop',
  Kill = 'kill',
  Freeze = 'freeze',
  HoldUp = 'holdUp',
  Reload = 'reload',
  Store = 'store',
  StoreLink = 'storeLink',
  Configure = 'configure',
  EndpointLink = 'endpointLink',
  ResetEndpointLink = 'resetEndpointLink',
  Drain = 'drain',
  EndEndpoint = 'endEndpoint',
  MoveEndpoint = 'moveEndpoint',
  CloseIdle = 'closeIdle',
  Fail = 'fail',
  State = 'state',
  Probe = 'probe',
  Evacuate = 'evacuate',
  Crowd = 'crowd',
}

/** Detail of a stop after which the process had to be killed. */
export const OVERDUE = 'overdue';

/** Something that a soak did, by `performance.now()`. */
export interface SoakAct {
  readonly kind: ActKind;
  /** Id of a daemon's process or of an endpoint, or name of a data centre; empty for the configuration. */
  readonly subject: string;
  detail: string;
  readonly fromMs: number;
  untilMs: number;
  /** Timeout of the routes that are not streamed, if a configuration was written. */
  plainTimeoutMs?: number;
  /** Time for which the daemon waited for a processor during a probe. */
  processorWaitMs?: number;
}

/** Request that an endpoint ran. */
export interface ProcessRun extends SoakRun {
  /** Time at which its response was complete or cut. */
  readonly endedAtMs: number;
}

/** Request of a caller to a daemon that is a process of its own. */
export interface ProcessCall extends SoakCall {
  readonly startedAtMs: number;
  /** Time at which the last byte was sent; undefined if the request was not sent whole. */
  readonly wholeAtMs: number | undefined;
  readonly endedAtMs: number;
  readonly deadlineAtMs: number;
  /** Whether its connection had served a request before. */
  readonly isReused: boolean;
  readonly error: string;
}

export interface LossRecord {
  readonly calls: readonly ProcessCall[];
  readonly runs: readonly ProcessRun[];
  readonly acts: readonly SoakAct[];
}

/** Acts after which an endpoint's answers in progress are lost. */
const ENDPOINT_ENDS: ReadonlySet<ActKind> = new Set([
  ActKind.EndEndpoint,
  ActKind.MoveEndpoint,
  ActKind.ResetEndpointLink,
  ActKind.Fail,
]);
const DAEMON_DISRUPTIONS: ReadonlySet<ActKind> = new Set([
  ActKind.Kill,
  ActKind.Freeze,
]);
const SILENCES: ReadonlySet<ActKind> = new Set([ActKind.EndpointLink]);
const STORE_TROUBLES: ReadonlySet<ActKind> = new Set([
  ActKind.Store,
  ActKind.StoreLink,
]);

/** Returns a line for each whole request that ended without an answer, a refusal or a cut by its endpoint. */
export function findLostRequests(record: LossRecord): readonly string[] {
  return record.calls.flatMap(call => {
    const reason = lossOf(call, record);
    return reason === undefined ? [] : [`${call.id} ${reason}`];
  });
}

/**
 * Returns a line for each request that a daemon answered with an error of its own
 * before its time limit; for soaks in which all endpoints stay sound.
 */
export function findFalseErrors(record: LossRecord): readonly string[] {
  return record.calls
    .filter(({ status }) => GATEWAY_ERRORS.has(status ?? 0))
    .filter(call => call.endedAtMs < timeLimitAtMs(call, record.acts))
    .filter(call => !isBeyondGrace(call, record))
    .map(
      ({ endedAtMs, id, startedAtMs, status }) =>
        `${id} got ${status} after ${Math.round(endedAtMs - startedAtMs)} ms`,
    );
}

/** Returns the first time at which a configuration that may be in force ends a request. */
function timeLimitAtMs(
  { deadlineAtMs, endedAtMs, kind, startedAtMs }: ProcessCall,
  acts: readonly SoakAct[],
): number {
  if (STREAMS.has(kind)) return deadlineAtMs;
  const isStretched = acts.some(
    act => STORE_TROUBLES.has(act.kind) && act.fromMs <= endedAtMs,
  );
  const applyMs = CONFIG_APPLY_MS + (isStretched ? MAX_STRETCH_MS : 0);
  const written = acts.filter(
    act => act.kind === ActKind.Configure && act.fromMs <= endedAtMs,
  );
  const timeoutsMs = [
    INITIAL_PLAIN_TIMEOUT_MS,
    ...written.map(act => act.plainTimeoutMs ?? Infinity),
  ].filter((_, index) => {
    const replacedAtMs = written[index]?.fromMs ?? Infinity;
    return replacedAtMs + applyMs >= startedAtMs;
  });
  return Math.min(deadlineAtMs, startedAtMs + Math.min(...timeoutsMs));
}

/** Returns a line for each daemon that ran on after its grace period although it was not frozen. */
export function findOverdueStops(acts: readonly SoakAct[]): readonly string[] {
  return acts
    .filter(({ detail, kind }) => kind === ActKind.Stop && detail === OVERDUE)
    .filter(
      ({ fromMs, subject, untilMs }) =>
        !overlaps(acts, DAEMON_DISRUPTIONS, subject, fromMs, untilMs),
    )
    .map(({ subject }) => `${subject} ran on after its grace period`);
}

function lossOf(call: ProcessCall, record: LossRecord): string | undefined {
  const { endedAtMs, startedAtMs, status, wholeAtMs } = call;
  if (wholeAtMs === undefined) return undefined;
  if (status !== undefined && DENIALS.has(status))
    return call.kind === SoakCallKind.Volatile
      ? undefined
      : `was denied with ${status}`;
  if (call.text !== undefined) return undefined;
  const fromMs = wholeAtMs - CONTACT_MS;
  if (
    overlaps(record.acts, DAEMON_DISRUPTIONS, call.gatewayId, fromMs, endedAtMs)
  )
    return undefined;
  const runs = record.runs.filter(run => run.requestId === call.id);
  if (status === undefined) {
    return runs.length === 0 && isCrossing(call)
      ? undefined
      : `got no answer; ran ${runs.length} times`;
  }
  // An endpoint that was only silent would have gone on.
  const isEndpointEnd = runs.every(({ endpointId }) =>
    overlaps(record.acts, ENDPOINT_ENDS, endpointId, startedAtMs, endedAtMs),
  );
  const isExcused =
    isEndpointEnd ||
    endedAtMs >= call.deadlineAtMs ||
    isBeyondGrace(call, record);
  return isExcused ? undefined : 'was cut within its answer';
}

/** Whether the end of its connection crossed a request. */
export function isCrossing({
  endedAtMs,
  status,
  wholeAtMs,
}: ProcessCall): boolean {
  if (status !== undefined || wholeAtMs === undefined) return false;
  return endedAtMs - wholeAtMs <= LOSS_SLACK_MS;
}

/** Whether an endpoint was at work, or silent, at the end of the grace period. */
function isBeyondGrace(
  { endedAtMs, gatewayId, id, startedAtMs }: ProcessCall,
  { acts, runs }: LossRecord,
): boolean {
  return acts.some(({ fromMs, kind, subject }) => {
    if (kind !== ActKind.Stop || subject !== gatewayId) return false;
    const lastPartAtMs = fromMs + LAST_PART_OF_GRACE_MS;
    return (
      startedAtMs <= fromMs + SENT_AFTER_STOP_MS &&
      endedAtMs >= lastPartAtMs &&
      runs
        .filter(run => run.requestId === id)
        .some(
          run =>
            run.endedAtMs >= lastPartAtMs ||
            overlaps(acts, SILENCES, run.endpointId, lastPartAtMs, endedAtMs),
        )
    );
  });
}

function overlaps(
  acts: readonly SoakAct[],
  kinds: ReadonlySet<ActKind>,
  subject: string,
  fromMs: number,
  untilMs: number,
): boolean {
  return acts.some(
    act =>
      kinds.has(act.kind) &&
      act.subject === subject &&
      act.fromMs <= untilMs &&
      act.untilMs >= fromMs,
  );
}
