import type { CallOutcome, ServiceOutcomes } from '@skylarkreach/core/pipeline';

import type { HttpExchange } from '../http/index.js';
import { bearerToken } from '../http/index.js';

/** Handles requests for the outcome of a plain service call. */
export class OutcomeHandler {
  constructor(private readonly outcomes: ServiceOutcomes) {}

  /** Sends the outcome as JSON. Throws `RequestError`. */
  async sendOutcome(exchange: HttpExchange): Promise<void> {
    const { params, request, response } = exchange;
    const callOutcome = await this.outcomes.find({
      bearerToken: bearerToken(request),
      service: params.service ?? '',
      idempotencyKey: params.key ?? '',
    });
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify(toBody(callOutcome)));
  }
}

function toBody(callOutcome: CallOutcome) {
  const { keepUntilMs, outcome, requestId, response, state } = callOutcome;
  const keepUntil = new Date(keepUntilMs).toISOString();
  return { outcome, state, requestId, keepUntil, response };
}
