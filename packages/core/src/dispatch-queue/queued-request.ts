/** Request that may have to wait until its group has capacity. */
export interface QueuedRequest {
  /** Unique among the requests of the queue. */
  readonly requestId: string;
  readonly workspace: string;
  /** 0 is the highest. */
  readonly priority: number;
  readonly receivedAtMs: number;
  /** Time until which a response is worth most to the caller. */
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
  /** Expected time from sending the request to its response or first event. */
  readonly expectedServiceMs: number;
  /** Size of the body, which stays in memory while the request waits. */
  readonly bytes: number;
  /** Names the endpoints that the request may use. */
  readonly scope: string;
}

export enum QueueDecisionKind {
  Send = 'send',
  Wait = 'wait',
  Refuse = 'refuse',
}

/** Why a request is refused; the values are log texts and metric labels. */
export enum QueueRefusal {
  /** The queue holds as many requests or bytes as it may. */
  QueueFull = 'queueFull',
  /** The request cannot be answered by its deadline. */
  TooLate = 'tooLate',
  /** The daemon is stopping. */
  Stopping = 'stopping',
}

export type QueueDecision =
  | {
      readonly kind: QueueDecisionKind.Send | QueueDecisionKind.Wait;
      readonly requestId: string;
    }
  | {
      readonly kind: QueueDecisionKind.Refuse;
      readonly requestId: string;
      readonly reason: QueueRefusal;
      /** Time after which the caller may return. */
      readonly retryInMs: number;
    };

export interface QueueLimits {
  readonly maxRequests: number;
  /** Maximum sum of the bodies of all waiting requests. */
  readonly maxBytes: number;
}
