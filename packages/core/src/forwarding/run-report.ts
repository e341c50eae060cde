import type { LogFields } from '../ports/index.js';
import type { StreamRelay } from './stream-relay.js';

/** What the log tells of a request besides its outcome. */
export class RunReport {
  /** Endpoint of the last attempt. */
  endpointId = '';
  /** Peer through which the last attempt was made; undefined if none was made through a peer. */
  peerId: string | undefined;
  /** Time from the request's arrival to the dispatch of its last attempt. */
  dispatchedAfterMs = 0;
  /** Age of the endpoint list at the dispatch of the last attempt. */
  endpointListAgeMs = 0;
  /** Rate limit that the last attempt's endpoint named. */
  limitPerSecond: number | undefined;
  /** Time from the request's arrival to the first response; undefined before it. */
  firstAnswerMs: number | undefined;

  fields(stream: StreamRelay | undefined): LogFields {
    const { firstAnswerMs, limitPerSecond, peerId } = this;
    return {
      endpoint: this.endpointId,
      dispatchedAfterMs: Math.round(this.dispatchedAfterMs),
      endpointListAgeMs: Math.round(this.endpointListAgeMs),
      ...(stream && {
        events: stream.attemptEvents,
        isFramed: stream.isAttemptFramed,
      }),
      ...(peerId !== undefined && { peer: peerId }),
      ...(limitPerSecond !== undefined && { limitPerSecond }),
      ...(firstAnswerMs !== undefined && {
        firstAnswerMs: Math.round(firstAnswerMs),
      }),
    };
  }
}
