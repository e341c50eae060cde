import { z } from 'zod';

import type {
  Address,
  CloudClient,
  FleetListing,
  Price,
  ReclaimNotice,
  StartRequest,
  StartResult,
} from '@skylarkreach/core/ports';
import {
  EndpointKind,
  EndpointStage,
  InstanceBilling,
  InstanceState,
  StartOutcome,
} from '@skylarkreach/core/ports';

import type { HttpCall, HttpClient } from './http-client.js';

const listingSchema = z.object({
  asOfMs: z.number(),
  instances: z.array(
    z.object({
      id: z.string(),
      machineClass: z.string(),
      dataCentre: z.string(),
      billing: z.enum(InstanceBilling),
      state: z.enum(InstanceState),
    }),
  ),
  endpoints: z.array(
    z.object({
      address: z.string(),
      kind: z.enum(EndpointKind),
      group: z.string(),
      version: z.string(),
      dataCentre: z.string(),
      instanceId: z.string(),
      stage: z.enum(EndpointStage),
    }),
  ),
  daemons: z
    .array(
      z.object({
        id: z.string(),
        dataCentre: z.string(),
        peerAddress: z.string(),
        callerUrl: z.string(),
      }),
    )
    .optional(),
});
const pricesSchema = z.object({
  prices: z.array(
    z.object({
      machineClass: z.string(),
      dataCentre: z.string(),
      billing: z.enum(InstanceBilling),
      pricePerHour: z.number(),
    }),
  ),
});
const startSchema = z.object({
  outcome: z.enum(StartOutcome),
  instanceId: z.string().optional(),
});
const noticesSchema = z.object({
  notices: z.array(
    z.object({ instanceId: z.string(), reclaimAtMs: z.number() }),
  ),
});

/** Client of the platform's cloud API over HTTP. */
export class HttpCloud implements CloudClient {
  constructor(
    private readonly http: HttpClient,
    private readonly address: Address,
    private readonly token: string,
  ) {}

  async list(deadlineAtMs: number): Promise<FleetListing> {
    return listingSchema.parse(await this.get('/v1/listing', deadlineAtMs));
  }

  async prices(deadlineAtMs: number): Promise<readonly Price[]> {
    const response = await this.get('/v1/prices', deadlineAtMs);
    return pricesSchema.parse(response).prices;
  }

  async start(request: StartRequest): Promise<StartResult> {
    const response = await this.send({
      method: 'POST',
      path: '/v1/instances',
      body: JSON.stringify(request),
      deadlineAtMs: request.deadlineAtMs,
    });
    return startSchema.parse(response);
  }

  async stop(instanceId: string, deadlineAtMs: number): Promise<void> {
    await this.send({
      method: 'DELETE',
      path: `/v1/instances/${encodeURIComponent(instanceId)}`,
      deadlineAtMs,
    });
  }

  async reclaimNotices(
    deadlineAtMs: number,
  ): Promise<readonly ReclaimNotice[]> {
    const response = await this.get('/v1/reclaim-notices', deadlineAtMs);
    return noticesSchema.parse(response).notices;
  }

  private get(path: string, deadlineAtMs: number): Promise<unknown> {
    return this.send({ method: 'GET', path, deadlineAtMs });
  }

  private send(call: Omit<HttpCall, 'address'>): Promise<unknown> {
    return this.http.sendJson({
      ...call,
      address: this.address,
      headers: { authorization: `Bearer ${this.token}` },
    });
  }
}
