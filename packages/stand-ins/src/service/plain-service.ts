import type {
  ServiceOutcome,
  ServiceRequest,
  ServiceResponse,
} from '@skylarkreach/core/platform';
import { ServiceOutcomeKind } from '@skylarkreach/core/platform';

/** One run of a call, kept so that a checker can count double runs. */
export interface ServiceRun {
  readonly idempotencyKey: string | undefined;
  readonly path: string;
  readonly body: string;
}

/** Stand-in of a plain service. It runs every call it gets and removes no duplicates. */
export class PlainService {
  readonly runs: ServiceRun[] = [];
  private readonly responses = new Map<string, ServiceResponse>();

  call(request: Omit<ServiceRequest, 'deadlineAtMs'>): ServiceResponse {
    const { body, idempotencyKey, path } = request;
    this.runs.push({ idempotencyKey, path, body });
    const response: ServiceResponse = {
      status: 200,
      contentType: 'application/json',
      body: JSON.stringify({ receipt: this.runs.length, path }),
    };
    if (idempotencyKey !== undefined) {
      this.responses.set(idempotencyKey, response);
    }
    return response;
  }

  outcome(idempotencyKey: string): ServiceOutcome {
    const response = this.responses.get(idempotencyKey);
    return response === undefined
      ? { kind: ServiceOutcomeKind.NotRun }
      : { kind: ServiceOutcomeKind.Ran, response };
  }
}
