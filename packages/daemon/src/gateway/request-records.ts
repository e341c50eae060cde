import type { Duplex } from 'node:stream';

import type { ForwardError } from '@skylarkreach/core/forwarding';
import { ForwardErrorKind, RunOutcome } from '@skylarkreach/core/forwarding';
import type { Log, Metrics } from '@skylarkreach/core/ports';
import { LogComponent } from '@skylarkreach/core/ports';

import type { Connections } from '../http/index.js';
import { OtherEnd } from '../http/index.js';

/** Point at which a request is dropped, as its connection can carry no response. */
export enum DropPoint {
  /** Its head was read after the end of the connection. */
  Head = 'head',
  /** The connection ended with a response before this one. */
  Turn = 'turn',
  /** The caller's end of the connection was read right after the request. */
  Poll = 'poll',
}

/** Kinds of errors that end a request before it is forwarded; the forwarder records all others. */
const EARLY_KINDS: ReadonlySet<ForwardErrorKind> = new Set([
  ForwardErrorKind.BadRequest,
  ForwardErrorKind.Stopping,
  ForwardErrorKind.TimedOutNotRun,
  ForwardErrorKind.Overloaded,
  ForwardErrorKind.BodyTooLarge,
  ForwardErrorKind.HeadersTooLarge,
  ForwardErrorKind.CallerTooSlow,
]);

export interface RequestRecordsDependencies {
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Counts and logs the requests that do not reach the forwarder. */
export class RequestRecords {
  constructor(
    private readonly deps: RequestRecordsDependencies,
    private readonly connections: Connections,
  ) {}

  /** Records a request that gets no response, as its connection has ended. */
  recordDropped(
    socket: Duplex,
    at: DropPoint,
    requestId: string | undefined,
  ): void {
    const { log, metrics } = this.deps;
    const end = this.connections.of(socket).pastEnd;
    const endedBy = end?.reason ?? OtherEnd.Caller;
    metrics.increment('callers.droppedRequests', 1, { at, endedBy });
    if (end === undefined) {
      const outcome = RunOutcome.CallerDisconnected;
      metrics.increment('requests', 1, { outcome });
    }
    log.info(
      LogComponent.Forwarding,
      'A request was dropped, as its connection had ended.',
      {
        requestId: requestId ?? '',
        at,
        endedBy,
        ...(end && { endedAgoMs: end.agoMs }),
      },
    );
  }

  /** Records a request that was rejected before it was read whole; `address` is that of its caller. */
  recordRejected(
    { kind, message }: ForwardError,
    requestId: string | undefined,
    address: string,
  ): void {
    if (!EARLY_KINDS.has(kind)) return;
    this.deps.metrics.increment('requests', 1, { outcome: kind });
    this.deps.log.info(
      LogComponent.Forwarding,
      'A request was rejected before it was fully read.',
      {
        requestId: requestId ?? '',
        address,
        outcome: kind,
        reason: message,
      },
    );
  }
}
