import type { ChatMessage, Workspace } from '../ports/index.js';
import type { Rule } from '../rules/index.js';
import type { ResumePoint } from '../streams/index.js';

/** Request of a caller whose format has been validated. */
export interface CallerRequest {
  readonly requestId: string;
  readonly bearerToken: string | undefined;
  /** Kind of work, which rules match on. */
  readonly kind: string;
  /** Absolute deadline from the caller, before the rule caps it. */
  readonly deadlineAtMs: number | undefined;
  readonly idempotencyKey: string | undefined;
}

/** Part of an answer that the caller already received and sends back to resume after it. */
export interface ReceivedAnswer {
  readonly text: string;
  readonly point: ResumePoint;
}

/** Request for a chat completion. */
export interface ModelCall extends CallerRequest {
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  readonly receivedAnswer?: ReceivedAnswer;
}

/** Call of a plain service. */
export interface ServiceCall extends CallerRequest {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: string;
}

/** Request whose workspace, rule and effective deadline have been determined. */
export interface IdentifiedRequest {
  readonly requestId: string;
  readonly workspace: Workspace;
  readonly kind: string;
  readonly rule: Rule;
  readonly deadlineAtMs: number;
}
