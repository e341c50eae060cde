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
  /** Called after each statement, as it may change whether the endpoint gets requests. */
  readonly onStatement: () => void;
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
  onStatement,
  paused,
  sentAtMs,
}: StatementRecorderOptions): StatementRecorders {
  return {
    recordLeaving: () => {
      leaving.record(endpoint);
      onStatement();
    },
    recordPause: pauseMs => {
      paused.record(endpoint, pauseMs);
      onStatement();
    },
    recordCold: coldForMs => {
      coldStarts.recordStatement(endpoint, coldForMs);
      onStatement();
    },
    recordStatements: (statements, isRejection) => {
      const { limitPerSecond, maxRejectionsPerSecond } = statements;
      if (!isRejection || limitPerSecond !== undefined)
        limiter.recordResponse(endpoint, limitPerSecond, sentAtMs);
      dispatch.recordResponse({ isRejection, maxRejectionsPerSecond });
      onStatement();
    },
  };
}
