import { z } from 'zod';

import type {
  Address,
  ServiceClient,
  ServiceOutcome,
  ServiceRequest,
  ServiceResponse,
} from '@skylarkreach/core/ports';
import {
  AnswerLostError,
  RefusedError,
  ServiceOutcomeKind,
} from '@skylarkreach/core/ports';

import type { HttpClient, HttpResponse } from './http-client.js';

const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

const outcomeSchema = z.object({
  kind: z.enum(ServiceOutcomeKind),
  response: z
    .object({ status: z.number(), contentType: z.string(), body: z.string() })
    .optional(),
});

/** Client of plain services over HTTP. Each call opens its own connection. */
export class HttpService implements ServiceClient {
  constructor(private readonly http: HttpClient) {}

  async call(
    address: Address,
    request: ServiceRequest,
    signal: AbortSignal,
  ): Promise<ServiceResponse> {
    const headers: Record<string, string> = {
      'content-type': request.contentType,
    };
    if (request.idempotencyKey !== undefined) {
      headers['idempotency-key'] = request.idempotencyKey;
    }
    const response = await this.http.send({
      address,
      method: request.method,
      path: request.path,
      headers,
      body: request.body === '' ? undefined : request.body,
      deadlineAtMs: request.deadlineAtMs,
      signal,
      freshConnection: true,
    });
    if (response.headers['x-not-run'] === 'true') {
      await response.body.dump();
      throw new RefusedError(
        `${address} rejected the call before running it.`,
        response.headers['x-leaving'] === 'true',
      );
    }
    return readResponse(address, response);
  }

  async outcome(
    address: Address,
    idempotencyKey: string,
    deadlineAtMs: number,
  ): Promise<ServiceOutcome> {
    const outcome = await this.http.sendJson({
      address,
      method: 'GET',
      path: `/v1/outcomes/${encodeURIComponent(idempotencyKey)}`,
      deadlineAtMs,
    });
    return outcomeSchema.parse(outcome);
  }
}

async function readResponse(
  address: Address,
  response: HttpResponse,
): Promise<ServiceResponse> {
  const contentType = response.headers['content-type'];
  try {
    return {
      status: response.statusCode,
      contentType:
        typeof contentType === 'string' ? contentType : DEFAULT_CONTENT_TYPE,
      body: await response.body.text(),
    };
  } catch (error) {
    throw new AnswerLostError(`The response from ${address} was truncated.`, {
      cause: error,
    });
  }
}
