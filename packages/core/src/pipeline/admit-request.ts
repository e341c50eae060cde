import type { Admission, AdmissionTicket } from '../admission/index.js';
import { AdmissionRefusedError, RefusalReason } from '../admission/index.js';
import type { IdentifiedRequest } from './request.js';
import type { RequestError } from './request-error.js';
import { notRunError, RequestErrorKind } from './request-error.js';

/** Token counts of a request, on which admission decides. */
export interface TokenDemand {
  readonly promptTokens: number;
  readonly maxTokens: number;
}

/** Admits a request. Throws `RequestError` if admission refuses it. */
export async function admitRequest(
  admission: Admission,
  request: IdentifiedRequest,
  demand: TokenDemand,
  signal: AbortSignal,
): Promise<AdmissionTicket> {
  try {
    return await admission.admit(
      {
        requestId: request.requestId,
        workspace: request.workspace,
        kind: request.kind,
        group: request.rule.group,
        priority: request.rule.priority,
        limits: request.rule.limits,
        deadlineAtMs: request.deadlineAtMs,
        ...demand,
      },
      signal,
    );
  } catch (error) {
    if (!(error instanceof AdmissionRefusedError)) throw error;
    throw toRequestError(error);
  }
}

function toRequestError(error: AdmissionRefusedError): RequestError {
  return notRunError(
    ERROR_KIND_BY_REASON[error.reason],
    error.message,
    'Send the request again after the time in Retry-After.',
    error.retryAtMs,
  );
}

const ERROR_KIND_BY_REASON: Record<RefusalReason, RequestErrorKind> = {
  [RefusalReason.WorkspaceInFlight]: RequestErrorKind.LimitReached,
  [RefusalReason.WorkspaceTokens]: RequestErrorKind.LimitReached,
  [RefusalReason.QueueFull]: RequestErrorKind.LimitReached,
  [RefusalReason.DeadlineUnreachable]: RequestErrorKind.DeadlinePassed,
  [RefusalReason.Stopping]: RequestErrorKind.Stopping,
};
