import type { ColdStartGuard } from './cold-start-guard.js';
import type { EndpointRecord } from './endpoint-record.js';
import type { GuardedDispatch } from './overload-guard.js';
import type { EndpointPoolOptions } from './pool-options.js';
import type { PoolReservation } from './pool-reservation.js';

export interface StatementRecorderOptions extends Pick<
  EndpointPoolOptions,
  'leaving' | 'limiter' | 'paused'
> {
  readonly coldStarts: ColdStartGuard;
  readonly endpoint: EndpointRecord;
  readonly dispatch: GuardedDispatch;
  readonly sentAtMs: number;
}

export type StatementRecorders = Pick<
  PoolReservation,
  'recordLeaving' | 'recordPause' | 'recordCold' | 'recordStatements'
>;

/** Returns what passes the statements in the response to a request on to those who keep to them. */
export function createStatementRecorders({
  coldStarts,
  dispatch,
  endpoint,
  leaving,
  limiter,
  paused,
  sentAtMs,
}: StatementRecorderOptions): StatementRecorders {
  return {
    recordLeaving: () => {
      leaving.record(endpoint);
    },
    recordPause: pauseMs => {
      paused.record(endpoint, pauseMs);
    },
    recordCold: coldForMs => {
      coldStarts.recordStatement(endpoint, coldForMs);
    },
    recordStatements: (statements, isRejection) => {
      const { limitPerSecond, maxRejectionsPerSecond } = statements;
      if (!isRejection || limitPerSecond !== undefined)
        limiter.recordResponse(endpoint, limitPerSecond, sentAtMs);
      dispatch.recordResponse({ isRejection, maxRejectionsPerSecond });
    },
  };
}
