import type { Priority, Workspace } from '../ports/index.js';
import type { RuleLimits } from '../rules/index.js';

/** Properties of a request that admission depends on. */
export interface AdmissionRequest {
  readonly requestId: string;
  readonly workspace: Workspace;
  readonly kind: string;
  /** Endpoint group that the request is sent to; capacity is shared within a group. */
  readonly group?: string;
  readonly priority: Priority;
  readonly limits: RuleLimits;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly deadlineAtMs: number;
}

/** Permission to dispatch a request; held from admission until the request has ended. */
export interface AdmissionTicket {
  /** Releases the capacity that the request holds. Further calls have no effect. */
  release(generatedTokens: number, nowMs: number): void;
}

/** Reason why a request is not admitted. */
export enum RefusalReason {
  WorkspaceInFlight = 'workspaceInFlight',
  WorkspaceTokens = 'workspaceTokens',
  QueueFull = 'queueFull',
  DeadlineUnreachable = 'deadlineUnreachable',
  Stopping = 'stopping',
}

/** Error thrown when a request is refused before it has been dispatched. */
export class AdmissionRefusedError extends Error {
  override readonly name = 'AdmissionRefusedError';

  constructor(
    message: string,
    readonly reason: RefusalReason,
    /** Earliest time at which a retry can succeed. */
    readonly retryAtMs: number,
  ) {
    super(message);
  }
}

/** Admission control: decides whether and when a request may be dispatched. */
export interface Admission {
  /**
   * Resolves once the request may be dispatched.
   * Rejects with `AdmissionRefusedError` as soon as the request is refused.
   */
  admit(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<AdmissionTicket>;
}
