import type { LogFields } from '../ports/index.js';
import type { AttemptEndKind } from './attempt-outcome.js';
import type { AttemptSequence } from './attempt-sequence.js';
import type { ForwardRequest } from './forward-request.js';
import type { PoolReservation } from './pool-reservation.js';
import type { StreamRelay } from './stream-relay.js';

/** Run that a record is about. */
export interface RecordedRun {
  readonly group: string;
  readonly request: Pick<ForwardRequest, 'receivedAtMs'>;
  readonly sequence: Pick<AttemptSequence, 'attempts' | 'obstacle'>;
  /** Undefined if the response is no stream. */
  readonly relay: StreamRelay | undefined;
}

/** What one request's run shows of itself in the log. */
export class RunRecord {
  /** Whether an endpoint may have executed the request. */
  mayHaveRun = false;
  lastEndpointId = '';
  lastEnd: AttemptEndKind | undefined;
  /** Peer through which the last attempt was made; undefined if none was. */
  lastPeerId: string | undefined;
  /** Rate limit that the last attempt's endpoint named. */
  limitPerSecond: number | undefined;
  /** Why the last attempt's endpoint was chosen, and from which one it fetched the prompt. */
  private placement: LogFields = {};
  /** Age of the endpoint list at the dispatch of the last attempt. */
  endpointListAgeMs = 0;
  /** Time from the request's arrival to the dispatch of its last attempt. */
  private dispatchedAfterMs = 0;
  /** The same of its first attempt; undefined before it. */
  firstDispatchedAfterMs: number | undefined;
  private firstResponseAtMs: number | undefined;

  constructor(private readonly run: RecordedRun) {}

  recordDispatch(sentAtMs: number): void {
    this.dispatchedAfterMs = sentAtMs - this.run.request.receivedAtMs;
    this.firstDispatchedAfterMs ??= this.dispatchedAfterMs;
  }

  recordPlacement({
    placementFields,
    promptSource,
  }: Pick<PoolReservation, 'placementFields' | 'promptSource'>): void {
    this.placement = {
      ...placementFields?.(),
      ...(promptSource && {
        promptSource: promptSource.endpoint.id,
        transferTokens: Math.round(promptSource.tokens),
      }),
    };
  }

  recordResponse(nowMs: number): void {
    this.firstResponseAtMs ??= nowMs;
  }

  fields(): LogFields {
    const { group, relay, request, sequence } = this.run;
    const { firstResponseAtMs, lastEnd, lastPeerId, limitPerSecond } = this;
    const { obstacle } = sequence;
    return {
      group,
      endpoint: this.lastEndpointId,
      attempts: sequence.attempts,
      mayHaveRun: this.mayHaveRun,
      ...(lastEnd !== undefined && { lastEnd }),
      ...(obstacle !== undefined && { notRetried: obstacle }),
      dispatchedAfterMs: Math.round(this.dispatchedAfterMs),
      endpointListAgeMs: Math.round(this.endpointListAgeMs),
      ...this.placement,
      ...(relay && {
        events: relay.attemptEvents,
        isFramed: relay.isAttemptFramed,
      }),
      ...(lastPeerId !== undefined && { peer: lastPeerId }),
      ...(limitPerSecond !== undefined && { limitPerSecond }),
      ...(firstResponseAtMs !== undefined && {
        firstAnswerMs: Math.round(firstResponseAtMs - request.receivedAtMs),
      }),
    };
  }
}
