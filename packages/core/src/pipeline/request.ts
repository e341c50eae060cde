import type { ChatMessage, Workspace } from '../ports/index.js';
import type { Rule } from '../rules/index.js';
import type { ResumePoint } from '../streams/index.js';

/** What a caller sent, once its form has been checked. */
export interface CallerRequest {
  readonly requestId: string;
  readonly bearerToken: string | undefined;
  /** Kind of work that rules match on. */
  readonly kind: string;
  /** Absolute deadline that the caller gave. */
  readonly deadlineAtMs: number | undefined;
  readonly idempotencyKey: string | undefined;
}

/** Part of an answer that a caller sends back, to go on after it. */
export interface ReceivedAnswer {
  readonly text: string;
  readonly point: ResumePoint;
}

/** A chat completion. */
export interface ModelCall extends CallerRequest {
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  readonly received?: ReceivedAnswer;
}

/** A call of a plain service. */
export interface ServiceCall extends CallerRequest {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: string;
}

/** A request whose caller and rule are known. */
export interface IdentifiedRequest {
  readonly requestId: string;
  readonly workspace: Workspace;
  readonly kind: string;
  readonly rule: Rule;
  readonly deadlineAtMs: number;
}
