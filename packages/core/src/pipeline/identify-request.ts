import type { Rule, RuleStore } from '../rules/index.js';
import type { TokenDirectory } from './identify.js';
import type { CallerRequest, IdentifiedRequest } from './request.js';
import { notRun, RequestErrorKind } from './request-error.js';

/** Finds the caller's workspace, the rule that applies and the deadline in force. */
export function identifyRequest(
  request: CallerRequest,
  tokens: TokenDirectory,
  rules: RuleStore,
  nowMs: number,
): IdentifiedRequest {
  const workspace = workspaceOf(request, tokens);
  const rule = rules.match({ workspace, kind: request.kind });
  if (rule === undefined) {
    throw notRun(
      RequestErrorKind.NoRule,
      `No rule takes requests of kind "${request.kind}" from workspace ${workspace}.`,
      'Ask the operators for a rule, or send another kind.',
    );
  }
  return {
    requestId: request.requestId,
    workspace,
    kind: request.kind,
    rule,
    deadlineAtMs: deadlineOf(request, rule, nowMs),
  };
}

/** The workspace that the bearer token belongs to. Throws `RequestError`. */
export function workspaceOf(
  request: Pick<CallerRequest, 'bearerToken'>,
  tokens: TokenDirectory,
): string {
  const { bearerToken } = request;
  const workspace =
    bearerToken === undefined ? undefined : tokens.workspaceOf(bearerToken);
  if (workspace === undefined) {
    throw notRun(
      RequestErrorKind.Unauthenticated,
      'The bearer token is missing or belongs to no workspace.',
      'Send "Authorization: Bearer TOKEN" with a token that the operators gave out.',
    );
  }
  return workspace;
}

function deadlineOf(request: CallerRequest, rule: Rule, nowMs: number): number {
  const { deadlineAtMs } = request;
  if (deadlineAtMs === undefined) {
    throw notRun(
      RequestErrorKind.MissingDeadline,
      'The request has no deadline.',
      'Send "Skylarkreach-Deadline" with an absolute time in RFC 3339.',
    );
  }
  if (deadlineAtMs <= nowMs) {
    throw notRun(
      RequestErrorKind.DeadlinePassed,
      'The deadline has passed.',
      'Send a later deadline, and check the clock of the calling machine.',
    );
  }
  return Math.min(deadlineAtMs, nowMs + rule.deadlineLimitMs);
}
