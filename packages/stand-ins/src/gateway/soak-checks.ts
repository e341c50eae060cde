/** Bounds that the users state. */
const CONTACT_MS = 3_000;
const DRAIN_MS = 2_000;
const LIMIT_WINDOW_MS = 4_000;
const ALLOWED_LIMIT_SHARE = 1.5;
const ALLOWED_LIMIT_SLACK = 5;
const CRASHES_UNTIL_KNOWN = 3;
const ALLOWED_LATE_CRASHES = 3;
/** Time in which a daemon that starts may not know yet what the others know. */
const START_MS = 1_500;
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

export enum SoakCallKind {
  Lookup = 'lookup',
  Posting = 'posting',
  /** Stream that may be resumed. */
  Draft = 'draft',
  /** Stream that must not be repeated. */
  Report = 'report',
  /** Lookup on a route or with a key that configurations remove and add. */
  Volatile = 'volatile',
  /** Lookup under which endpoints crash. */
  Crashing = 'crashing',
}

export const STREAMS: ReadonlySet<SoakCallKind> = new Set([
  SoakCallKind.Draft,
  SoakCallKind.Report,
]);
const RUN_ONCE: ReadonlySet<SoakCallKind> = new Set([
  SoakCallKind.Posting,
  SoakCallKind.Report,
]);

/** Request of a caller and what it got. */
export interface SoakCall {
  readonly id: string;
  readonly kind: SoakCallKind;
  readonly gatewayId: string;
  /** Undefined if the connection broke before a response began. */
  readonly status: number | undefined;
  /** Undefined if the response was cut. */
  readonly text: string | undefined;
}

/** Request that an endpoint ran. */
export interface SoakRun {
  readonly requestId: string;
  readonly endpointId: string;
  readonly atMs: number;
}

export interface SoakLimit {
  readonly endpointId: string;
  readonly limitPerSecond: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Everything that callers and endpoints saw. Times are by `performance.now()`. */
export interface SoakRecord {
  readonly calls: readonly SoakCall[];
  readonly runs: readonly SoakRun[];
  readonly limits: readonly SoakLimit[];
  readonly crashesAtMs: readonly number[];
  /** Times at which endpoints said that they were leaving, by endpoint. */
  readonly drainedAtMs: ReadonlyMap<string, number>;
  readonly killedGateways: ReadonlySet<string>;
  readonly gatewayStartsAtMs: readonly number[];
  readonly storeOutages: readonly {
    readonly fromMs: number;
    readonly untilMs: number;
  }[];
  /** Events of a whole stream. */
  readonly streamEvents: number;
}

/** Returns a line for each promise that was broken. */
export function findViolations(record: SoakRecord): readonly string[] {
  return [
    ...wrongAnswers(record),
    ...repeatedPostings(record),
    ...falseRejections(record),
    ...cutRequests(record),
    ...exceededLimits(record),
    ...lateCrashes(record),
    ...lateDispatches(record),
  ];
}

function wrongAnswers({ calls, streamEvents }: SoakRecord): string[] {
  const wholeStream = Array.from(
    { length: streamEvents },
    (_, index) => `id: ${index + 1}\ndata: token ${index + 1}\n\n`,
  ).join('');
  return calls
    .filter(({ status, text }) => status === 200 && text !== undefined)
    .filter(({ kind, text }) =>
      STREAMS.has(kind)
        ? text !== wholeStream
        : text?.startsWith('answer of ') !== true,
    )
    .map(({ id, text }) => `${id} got a wrong answer: ${text ?? ''}`);
}

function repeatedPostings({ calls, runs }: SoakRecord): string[] {
  return calls
    .filter(({ kind }) => RUN_ONCE.has(kind))
    .filter(({ id }) => runs.filter(run => run.requestId === id).length > 1)
    .map(({ id }) => `${id} must not be repeated and ran more than once`);
}

function falseRejections({ calls, runs }: SoakRecord): string[] {
  return calls
    .filter(({ kind }) => RUN_ONCE.has(kind))
    .filter(({ status }) => NOT_RUN_STATUSES.has(status ?? 0))
    .filter(({ id }) => runs.some(run => run.requestId === id))
    .map(({ id }) => `${id} was rejected as not run and ran`);
}

/** A planned stop cuts no request that an endpoint got. */
function cutRequests({ calls, killedGateways, runs }: SoakRecord): string[] {
  return calls
    .filter(({ status }) => status === undefined)
    .filter(({ gatewayId }) => !killedGateways.has(gatewayId))
    .filter(({ id }) => runs.some(run => run.requestId === id))
    .map(({ gatewayId, id }) => `${id} was cut by ${gatewayId}`);
}

function exceededLimits(record: SoakRecord): string[] {
  return record.limits.flatMap(limit => {
    const { endpointId, fromMs, limitPerSecond, untilMs } = limit;
    const timesMs = record.runs
      .filter(run => run.endpointId === endpointId)
      .map(run => run.atMs)
      .filter(atMs => atMs >= fromMs + CONTACT_MS && atMs < untilMs);
    const allowed =
      (limitPerSecond * LIMIT_WINDOW_MS * ALLOWED_LIMIT_SHARE) / 1_000 +
      ALLOWED_LIMIT_SLACK;
    return timesMs.flatMap(startMs => {
      const endMs = startMs + LIMIT_WINDOW_MS;
      // A daemon that starts knows no limit at first, which the users excuse.
      const isExcused = record.gatewayStartsAtMs.some(
        atMs => atMs > startMs - START_MS && atMs < endMs,
      );
      const count = timesMs.filter(
        atMs => atMs >= startMs && atMs < endMs,
      ).length;
      return isExcused || count <= allowed
        ? []
        : [
            `${endpointId} with a limit of ${limitPerSecond}/s got ${count} requests`,
          ];
    });
  });
}

function lateCrashes({ calls, crashesAtMs, runs }: SoakRecord): string[] {
  const crashingIds = new Set(
    calls
      .filter(({ kind }) => kind === SoakCallKind.Crashing)
      .map(({ id }) => id),
  );
  const knownAtMs =
    (crashesAtMs[CRASHES_UNTIL_KNOWN - 1] ?? Infinity) + CONTACT_MS;
  const late = runs.filter(
    run => crashingIds.has(run.requestId) && run.atMs > knownAtMs,
  );
  return late.length > ALLOWED_LATE_CRASHES
    ? [`${late.length} requests that crash endpoints were sent late`]
    : [];
}

function lateDispatches(record: SoakRecord): string[] {
  return record.runs
    .filter(({ atMs, endpointId }) => {
      const drainedAtMs = record.drainedAtMs.get(endpointId) ?? Infinity;
      const isExcused = record.storeOutages.some(
        ({ fromMs, untilMs }) =>
          fromMs < drainedAtMs + DRAIN_MS && untilMs + CONTACT_MS > drainedAtMs,
      );
      return !isExcused && atMs > drainedAtMs + DRAIN_MS;
    })
    .map(
      run => `${run.requestId} reached ${run.endpointId}, which was leaving`,
    );
}
