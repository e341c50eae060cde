import { AttemptEndKind } from './attempt-outcome.js';
import type { PoolReservation } from './pool-reservation.js';

/** One attempt of a request. */
export interface AttemptRecord {
  /** Endpoint, or peer through which the attempt was made. */
  readonly id: string;
  readonly isPeer: boolean;
  /** Whether the endpoint was told to fetch the prompt from another one. */
  readonly hasPromptSource: boolean;
  /** Endpoints to which the peer sent the request. */
  readonly relayedIds: readonly string[];
  /** Undefined while the attempt is in progress. */
  readonly end: AttemptEndKind | undefined;
  /** Whether the endpoint had sent events of the stream before it failed. */
  readonly hasSentEvents: boolean;
  /** Whether the endpoint was found to have ended. */
  readonly isGone: boolean;
  /** Whether this daemon was cut off from the endpoint since. */
  readonly isCutOff: boolean;
}

/** Attempts that reached no endpoint which may run the request. */
const MISSED_ENDS: ReadonlySet<AttemptEndKind | undefined> = new Set([
  AttemptEndKind.NotSent,
  AttemptEndKind.Misdirected,
]);

/** Attempts after which no endpoint has run the request. */
const NOT_RUN_ENDS: ReadonlySet<AttemptEndKind | undefined> = new Set([
  ...MISSED_ENDS,
  AttemptEndKind.NotRun,
]);

/** Attempts of one request in the order in which they were made, one at a time. */
export class AttemptHistory {
  private records: readonly AttemptRecord[] = [];
  /** Number of attempts before the request last waited. */
  private beforeWait = 0;

  /** `excludedIds` are endpoints to which other daemons have sent the request. */
  constructor(private readonly excludedIds: readonly string[] = []) {}

  get all(): readonly AttemptRecord[] {
    return this.records;
  }

  /** Attempts since the request last waited. */
  get recent(): readonly AttemptRecord[] {
    return this.records.slice(this.beforeWait);
  }

  begin(
    id: string,
    {
      isPeer = false,
      promptSource,
    }: Pick<PoolReservation, 'isPeer' | 'promptSource'> = {},
  ): void {
    const record: AttemptRecord = {
      id,
      isPeer,
      hasPromptSource: promptSource !== undefined,
      relayedIds: [],
      end: undefined,
      hasSentEvents: false,
      isGone: false,
      isCutOff: false,
    };
    this.records = [...this.records, record];
  }

  /** Records an endpoint to which the peer of the attempt in progress has sent the request. */
  recordRelayed(endpointId: string): void {
    this.changeLast(last => ({
      relayedIds: [...last.relayedIds, endpointId],
    }));
  }

  recordEnd(end: AttemptEndKind, hasSentEvents = false): void {
    this.changeLast(() => ({ end, hasSentEvents }));
  }

  /** Records that the endpoint of the last attempt is gone, and with it all its runs. */
  recordGone(): void {
    const goneId = this.records.at(-1)?.id;
    this.records = this.records.map(each =>
      each.id === goneId ? { ...each, isGone: true } : each,
    );
  }

  /** Records that this daemon is cut off from the endpoints to which it has sent the request. */
  recordCutOff(): void {
    this.records = this.records.map(each =>
      each.isPeer ? each : { ...each, isCutOff: true },
    );
  }

  recordWait(): void {
    this.beforeWait = this.records.length;
  }

  /** Whether an attempt failed, or is silent, that waited for its prompt from another endpoint. */
  hasFailedWithSource(): boolean {
    return this.records.some(
      ({ end, hasPromptSource }) => hasPromptSource && !NOT_RUN_ENDS.has(end),
    );
  }

  /** Returns the ids of the endpoints to which the request was sent or was to be sent. */
  triedIds(): ReadonlySet<string> {
    return new Set([
      ...this.excludedIds,
      ...this.records.flatMap(({ id, isPeer, relayedIds }) =>
        isPeer ? relayedIds : [id],
      ),
    ]);
  }

  /** Returns the ids of the peers that were tried since the request last waited. */
  triedPeerIds(): readonly string[] {
    return this.recent.filter(({ isPeer }) => isPeer).map(({ id }) => id);
  }

  /** Returns the ids of the endpoints that were found to have ended. */
  goneIds(): ReadonlySet<string> {
    const gone = this.records.filter(({ isGone }) => isGone);
    return new Set(gone.map(({ id }) => id));
  }

  /** Returns the ids of the endpoints that the request may have reached. */
  reachedIds(): ReadonlySet<string> {
    const sent = this.records.filter(
      ({ end }) => end !== AttemptEndKind.NotSent,
    );
    return new Set([
      ...this.excludedIds,
      ...sent.flatMap(({ id, relayedIds }) => [id, ...relayedIds]),
    ]);
  }

  /** Returns the ids of the endpoints that may have run the request, those behind peers included. */
  runIds(): ReadonlySet<string> {
    const runs = this.records.filter(
      each => !isPutOff(each) && !MISSED_ENDS.has(each.end),
    );
    return new Set(
      runs.flatMap(({ id, isPeer, relayedIds }) =>
        isPeer ? relayedIds : [id],
      ),
    );
  }

  /** Returns the ids of the endpoints that were left as they were silent, and to which there may be a way back. */
  leftIds(): ReadonlySet<string> {
    return this.idsWhere(
      attempts => wasLeft(attempts) && !this.isMissed(attempts),
    );
  }

  /** Returns the ids of the endpoints that were left as they were silent. */
  silentIds(): ReadonlySet<string> {
    return this.idsWhere(wasLeft);
  }

  /** Returns the ids of the endpoints that were left once and have not got the request back since. */
  leftOnceIds(): ReadonlySet<string> {
    return this.idsWhere(
      attempts =>
        wasLeft(attempts) &&
        !this.isMissed(attempts) &&
        countEnds(attempts, AttemptEndKind.Silent) === 1,
    );
  }

  /** Returns the ids of the endpoints whose last attempt was refused or not sent. */
  putOffIds(): ReadonlySet<string> {
    return this.idsWhere(attempts => attempts.slice(-1).some(isPutOff));
  }

  /** Returns the ids of the endpoints that broke off a stream and have not got it back. */
  brokenIds(): ReadonlySet<string> {
    return this.idsWhere(
      attempts => attempts.findIndex(isBreak) === attempts.length - 1,
    );
  }

  private idsWhere(
    matches: (attempts: readonly AttemptRecord[]) => boolean,
  ): ReadonlySet<string> {
    const byId = new Map<string, AttemptRecord[]>();
    for (const each of this.records)
      byId.set(each.id, [...(byId.get(each.id) ?? []), each]);
    return new Set([...byId.keys()].filter(id => matches(byId.get(id) ?? [])));
  }

  private isMissed(attempts: readonly AttemptRecord[]): boolean {
    const last = attempts.at(-1);
    return last !== undefined && isPutOff(last) && this.recent.includes(last);
  }

  private changeLast(
    change: (last: AttemptRecord) => Partial<AttemptRecord>,
  ): void {
    const last = this.records.at(-1);
    if (last === undefined) return;
    this.records = [...this.records.slice(0, -1), { ...last, ...change(last) }];
  }
}

/** Returns the number of attempts that count towards a route's limit. */
export function countAttempts(records: readonly AttemptRecord[]): number {
  return records.filter(
    ({ end, isCutOff, isGone }) =>
      !MISSED_ENDS.has(end) && !isGone && !isCutOff,
  ).length;
}

/** Returns the number of attempts that may run the request. */
export function countRuns(records: readonly AttemptRecord[]): number {
  return countAttempts(
    records.filter(({ end }) => end !== AttemptEndKind.NotRun),
  );
}

export function countEnds(
  records: readonly AttemptRecord[],
  kind: AttemptEndKind,
): number {
  return records.filter(({ end }) => end === kind).length;
}

/** Whether an endpoint was left for its silence, and at most refused the request or was not reached since. */
function wasLeft(attempts: readonly AttemptRecord[]): boolean {
  const others = attempts.filter(each => !isPutOff(each));
  return others.at(-1)?.end === AttemptEndKind.Silent;
}

/** Whether the attempt may be made again later at the same endpoint. */
function isPutOff({ end }: AttemptRecord): boolean {
  return end === AttemptEndKind.NotSent || end === AttemptEndKind.NotRun;
}

function isBreak({ end, hasSentEvents }: AttemptRecord): boolean {
  return end === AttemptEndKind.Failed && hasSentEvents;
}
