import type {
  ServiceOutcome,
  ServiceRequest,
  ServiceResponse,
} from '@skylarkreach/core/ports';
import { ServiceOutcomeKind } from '@skylarkreach/core/ports';

/** One execution of a call, recorded so that a checker can count duplicate executions. */
export interface ServiceRun {
  readonly idempotencyKey: string | undefined;
  readonly path: string;
  readonly body: string;
}

export interface PlainServiceOptions {
  /** Whether a repeated idempotency key returns the first response without a second execution. */
  readonly deduplicatesByKey: boolean;
  /** Returns whether the response to a call is dropped after the call has been executed. */
  readonly dropsResponse: (request: ServiceRun) => boolean;
  /** Delay between the execution of a call and its response, in milliseconds. */
  readonly responseDelayMs: number;
  /** Body of each response; a JSON receipt with the execution count and path where absent. */
  readonly responseBody?: string;
}

const DEFAULT_OPTIONS: PlainServiceOptions = {
  deduplicatesByKey: false,
  dropsResponse: () => false,
  responseDelayMs: 0,
};

/** Result of one call. */
export interface ServiceCallResult {
  readonly response: ServiceResponse;
  /** Whether the call was executed but its response does not reach the caller. */
  readonly isResponseLost: boolean;
}

/** Stand-in for a plain service. Executes every call it receives unless `deduplicatesByKey` is set. */
export class PlainService {
  readonly runs: ServiceRun[] = [];
  readonly options: PlainServiceOptions;
  private readonly responses = new Map<string, ServiceResponse>();

  constructor(options: Partial<PlainServiceOptions> = {}) {
    this.options = { ...DEFAULT_OPTIONS, ...options };
  }

  /** Executes a call, or returns the recorded response of a deduplicated key. */
  call(request: Omit<ServiceRequest, 'deadlineAtMs'>): ServiceCallResult {
    const { body, idempotencyKey, path } = request;
    const run = { idempotencyKey, path, body };
    const response = this.recordedResponse(idempotencyKey) ?? this.run(run);
    return { response, isResponseLost: this.options.dropsResponse(run) };
  }

  /** Returns the recorded outcome of a key. */
  outcome(idempotencyKey: string): ServiceOutcome {
    const response = this.responses.get(idempotencyKey);
    return response === undefined
      ? { kind: ServiceOutcomeKind.NotRun }
      : { kind: ServiceOutcomeKind.Ran, response };
  }

  private recordedResponse(
    key: string | undefined,
  ): ServiceResponse | undefined {
    if (key === undefined || !this.options.deduplicatesByKey) return undefined;
    return this.responses.get(key);
  }

  private run(run: ServiceRun): ServiceResponse {
    this.runs.push(run);
    const receipt = { receipt: this.runs.length, path: run.path };
    const response: ServiceResponse = {
      status: 200,
      contentType: 'application/json',
      body: this.options.responseBody ?? JSON.stringify(receipt),
    };
    if (run.idempotencyKey !== undefined) {
      this.responses.set(run.idempotencyKey, response);
    }
    return response;
  }
}
