import type { Priority, Workspace } from '../ports/index.js';
import type { RuleLimits } from '../rules/index.js';

/** What admission depends on. */
export interface AdmissionRequest {
  readonly requestId: string;
  readonly workspace: Workspace;
  readonly kind: string;
  /** Endpoint group that the request goes to; capacity is shared within a group. */
  readonly group?: string;
  readonly priority: Priority;
  readonly limits: RuleLimits;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly deadlineAtMs: number;
}

/** Right to be dispatched; held from admission until the request has settled. */
export interface AdmissionTicket {
  /** Gives the capacity back. Further calls have no effect. */
  release(generatedTokens: number, nowMs: number): void;
}

export enum RefusalReason {
  WorkspaceInFlight = 'workspaceInFlight',
  WorkspaceTokens = 'workspaceTokens',
  QueueFull = 'queueFull',
  DeadlineUnreachable = 'deadlineUnreachable',
  Stopping = 'stopping',
}

/** The request was refused before anything was dispatched. */
export class AdmissionRefusedError extends Error {
  override readonly name = 'AdmissionRefusedError';

  constructor(
    message: string,
    readonly reason: RefusalReason,
    /** Earliest time at which another try can succeed. */
    readonly retryAtMs: number,
  ) {
    super(message);
  }
}

/** Decides whether and when a request may be dispatched. */
export interface Admission {
  /**
   * Resolves once the request may be dispatched.
   * Throws `AdmissionRefusedError` as soon as it is given up on.
   */
  admit(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<AdmissionTicket>;
}
