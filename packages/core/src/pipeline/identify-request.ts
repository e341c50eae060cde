import type { Rule, RuleStore } from '../rules/index.js';
import type { CallerRequest, IdentifiedRequest } from './request.js';
import { notRunError, RequestErrorKind } from './request-error.js';
import type { TokenDirectory } from './token-directory.js';

/** Determines the caller's workspace, the matching rule and the effective deadline. Throws `RequestError`. */
export function identifyRequest(
  request: CallerRequest,
  tokens: TokenDirectory,
  rules: RuleStore,
  nowMs: number,
): IdentifiedRequest {
  const workspace = workspaceOf(request, tokens);
  const rule = rules.match({ workspace, kind: request.kind });
  if (rule === undefined) {
    throw notRunError(
      RequestErrorKind.NoRule,
      `No rule matches requests of kind "${request.kind}" from workspace ${workspace}.`,
      'Ask the operators to add a rule, or send a different kind.',
    );
  }
  return {
    requestId: request.requestId,
    workspace,
    kind: request.kind,
    rule,
    deadlineAtMs: effectiveDeadlineAtMs(request, rule, nowMs),
  };
}

/** Returns the workspace that the bearer token belongs to. Throws `RequestError`. */
export function workspaceOf(
  request: Pick<CallerRequest, 'bearerToken'>,
  tokens: TokenDirectory,
): string {
  const { bearerToken } = request;
  const workspace =
    bearerToken === undefined ? undefined : tokens.workspaceOf(bearerToken);
  if (workspace === undefined) {
    throw notRunError(
      RequestErrorKind.Unauthenticated,
      'The bearer token is missing or does not belong to a workspace.',
      'Send "Authorization: Bearer TOKEN" with a token issued by the operators.',
    );
  }
  return workspace;
}

function effectiveDeadlineAtMs(
  request: CallerRequest,
  rule: Rule,
  nowMs: number,
): number {
  const { deadlineAtMs } = request;
  if (deadlineAtMs === undefined) {
    throw notRunError(
      RequestErrorKind.MissingDeadline,
      'The request has no deadline.',
      'Send "Skylarkreach-Deadline" with an absolute time in RFC 3339.',
    );
  }
  if (deadlineAtMs <= nowMs) {
    throw notRunError(
      RequestErrorKind.DeadlinePassed,
      'The deadline has passed.',
      'Send a later deadline, and check the clock of the calling machine.',
    );
  }
  return Math.min(deadlineAtMs, nowMs + rule.deadlineLimitMs);
}
