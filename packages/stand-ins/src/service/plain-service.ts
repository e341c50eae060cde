import type {
  ServiceOutcome,
  ServiceRequest,
  ServiceResponse,
} from '@skylarkreach/core/ports';
import { ServiceOutcomeKind } from '@skylarkreach/core/ports';

/** One run of a call, kept so that a checker can count double runs. */
export interface ServiceRun {
  readonly idempotencyKey: string | undefined;
  readonly path: string;
  readonly body: string;
}

export interface PlainServiceOptions {
  /** Answers a repeated key with its first response and runs it no more. */
  readonly deduplicatesByKey: boolean;
  /** Whether the answer of the next call is lost once the call has run. */
  readonly losesAnswer: (request: ServiceRun) => boolean;
  /** Time between a run and its response, in milliseconds. */
  readonly responseDelayMs: number;
  /** Body of each response; a receipt where absent. */
  readonly responseBody?: string;
}

const DEFAULT_OPTIONS: PlainServiceOptions = {
  deduplicatesByKey: false,
  losesAnswer: () => false,
  responseDelayMs: 0,
};

/** What the service made of one call. */
export interface ServiceAnswer {
  readonly response: ServiceResponse;
  /** The call ran; its answer does not reach the caller. */
  readonly isLost: boolean;
}

/** Stand-in of a plain service. It runs every call it gets, unless told to remove duplicates. */
export class PlainService {
  readonly runs: ServiceRun[] = [];
  readonly options: PlainServiceOptions;
  private readonly responses = new Map<string, ServiceResponse>();

  constructor(options: Partial<PlainServiceOptions> = {}) {
    this.options = { ...DEFAULT_OPTIONS, ...options };
  }

  call(request: Omit<ServiceRequest, 'deadlineAtMs'>): ServiceAnswer {
    const { body, idempotencyKey, path } = request;
    const run = { idempotencyKey, path, body };
    const response = this.firstResponse(idempotencyKey) ?? this.run(run);
    return { response, isLost: this.options.losesAnswer(run) };
  }

  outcome(idempotencyKey: string): ServiceOutcome {
    const response = this.responses.get(idempotencyKey);
    return response === undefined
      ? { kind: ServiceOutcomeKind.NotRun }
      : { kind: ServiceOutcomeKind.Ran, response };
  }

  private firstResponse(key: string | undefined): ServiceResponse | undefined {
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
