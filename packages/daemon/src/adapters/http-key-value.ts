import { z } from 'zod';

import type {
  Address,
  KeyValueEntry,
  KeyValueStore,
  Lease,
  LeaseRequest,
  PutRequest,
  PutResult,
  WatchRequest,
  WatchResult,
} from '@skylarkreach/core/ports';
import {
  KeyValueUnavailableError,
  NotFoundError,
  NotSentError,
  PutOutcome,
  RefusedError,
} from '@skylarkreach/core/ports';

import type { HttpCall, HttpClient } from './http-client.js';

/** Time after the deadline of a watch in which its response may still arrive. */
const WATCH_RESPONSE_MARGIN_MS = 500;

const entrySchema = z.object({
  key: z.string(),
  value: z.string(),
  version: z.number(),
});
const entriesSchema = z.object({ entries: z.array(entrySchema) });
const putSchema = z.object({
  outcome: z.enum(PutOutcome),
  version: z.number(),
});
const watchSchema = z.object({
  revision: z.number(),
  entries: z.array(entrySchema),
});
const leaseSchema = z.object({
  lease: z
    .object({
      name: z.string(),
      holder: z.string(),
      fencingNumber: z.number(),
      expiresAtMs: z.number(),
    })
    .optional(),
});

/** Client of the platform's key-value service over HTTP. */
export class HttpKeyValue implements KeyValueStore {
  constructor(
    private readonly http: HttpClient,
    private readonly address: Address,
    private readonly token: string,
  ) {}

  async get(
    key: string,
    deadlineAtMs: number,
  ): Promise<KeyValueEntry | undefined> {
    const path = `/v1/keys/${encodeURIComponent(key)}`;
    try {
      const response = await this.send({ method: 'GET', path, deadlineAtMs });
      return entrySchema.parse(response);
    } catch (error) {
      if (error instanceof NotFoundError) return undefined;
      throw error;
    }
  }

  async list(
    prefix: string,
    deadlineAtMs: number,
  ): Promise<readonly KeyValueEntry[]> {
    const path = `/v1/keys?prefix=${encodeURIComponent(prefix)}`;
    const response = await this.send({ method: 'GET', path, deadlineAtMs });
    return entriesSchema.parse(response).entries;
  }

  async put(request: PutRequest): Promise<PutResult> {
    const { key, value, expectedVersion, deadlineAtMs } = request;
    const response = await this.send({
      method: 'PUT',
      path: `/v1/keys/${encodeURIComponent(key)}`,
      body: JSON.stringify({ value, expectedVersion }),
      deadlineAtMs,
    });
    return putSchema.parse(response);
  }

  async watch(request: WatchRequest): Promise<WatchResult> {
    const response = await this.send({
      method: 'POST',
      path: '/v1/watch',
      body: JSON.stringify(request),
      deadlineAtMs: request.deadlineAtMs + WATCH_RESPONSE_MARGIN_MS,
      // The next watch must not reuse a connection that is unresponsive.
      freshConnection: true,
    });
    return watchSchema.parse(response);
  }

  async acquireLease(request: LeaseRequest): Promise<Lease | undefined> {
    const response = await this.send({
      method: 'POST',
      path: '/v1/leases',
      body: JSON.stringify(request),
      deadlineAtMs: request.deadlineAtMs,
    });
    return leaseSchema.parse(response).lease;
  }

  async releaseLease(lease: Lease, deadlineAtMs: number): Promise<void> {
    await this.send({
      method: 'POST',
      path: '/v1/leases/release',
      body: JSON.stringify(lease),
      deadlineAtMs,
    });
  }

  private async send(call: Omit<HttpCall, 'address'>): Promise<unknown> {
    try {
      return await this.http.sendJson({
        ...call,
        address: this.address,
        headers: { authorization: `Bearer ${this.token}` },
      });
    } catch (error) {
      if (error instanceof NotSentError || error instanceof RefusedError) {
        throw new KeyValueUnavailableError(
          'The key-value service is unavailable; try again later.',
          { cause: error },
        );
      }
      throw error;
    }
  }
}
