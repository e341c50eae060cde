import type { CallOutcome, ServiceOutcomes } from '@skylarkreach/core/pipeline';

import type { HttpExchange } from '../http/index.js';
import { bearerToken } from '../http/index.js';

/** Answers callers who ask what became of a call of a plain service. */
export class OutcomeHandler {
  constructor(private readonly outcomes: ServiceOutcomes) {}

  /** Sends the outcome as JSON. Throws `RequestError`. */
  async send(exchange: HttpExchange): Promise<void> {
    const { params, request, response } = exchange;
    const found = await this.outcomes.find({
      bearerToken: bearerToken(request),
      service: params.service ?? '',
      idempotencyKey: params.key ?? '',
    });
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify(toBody(found)));
  }
}

function toBody(found: CallOutcome) {
  const { keepUntilMs, outcome, requestId, response, state } = found;
  const keepUntil = new Date(keepUntilMs).toISOString();
  return { outcome, state, requestId, keepUntil, response };
}
