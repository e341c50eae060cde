import type { Clock, Log } from '../ports/index.js';
import { LogComponent } from '../ports/index.js';
import type { AttemptOutcome } from './attempt-outcome.js';
import { CrashEvidence } from './attempt-outcome.js';
import type { CrashGuard } from './crash-guard.js';
import type { EndpointRecord } from './endpoint-record.js';
import type { Upstream } from './upstream.js';

export interface CrashDetectorDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly upstream: Upstream;
  readonly crashGuard: CrashGuard;
  /** Resolves with whether any endpoint, of any group, accepts connections of this daemon. */
  readonly reachesEndpoints: () => Promise<boolean>;
}

/** Attempt that has ended. */
export interface InspectedAttempt {
  readonly requestId: string;
  readonly suspectIds: readonly string[];
  readonly endpoint: EndpointRecord;
  readonly sentAtMs: number;
}

/** Tells endpoints that crashed under a request from those that only lost its response. */
export class CrashDetector {
  constructor(private readonly deps: CrashDetectorDependencies) {}

  /**
   * Reports to the guard that the endpoint completed the response, or that it
   * crashed: its response was lost and it accepts no connections now, whereas
   * other endpoints do.
   */
  async inspect(
    { endpoint, requestId, sentAtMs, suspectIds }: InspectedAttempt,
    { crashEvidence }: AttemptOutcome,
  ): Promise<void> {
    const { clock, crashGuard, log, upstream } = this.deps;
    const atMs = clock.nowMs();
    if (crashEvidence === CrashEvidence.Completed)
      crashGuard.recordCompleted(suspectIds, {
        endpointId: endpoint.id,
        sentAtMs,
      });
    if (crashEvidence !== CrashEvidence.MayHaveCrashed) return;
    if (!(await upstream.refusesConnections(endpoint))) return;
    if (!(await this.deps.reachesEndpoints())) return;
    log.warn(LogComponent.Routing, 'An endpoint has crashed under a request.', {
      requestId,
      endpoint: endpoint.id,
      suspectIds: suspectIds.join(','),
      inFlightMs: Math.round(atMs - sentAtMs),
    });
    const endpointId = endpoint.id;
    crashGuard.recordCrash({ endpointId, suspectIds, sentAtMs, atMs });
  }
}
