import { z } from 'zod';

import type { Address, KeyValue } from '@skylarkreach/core/ports';
import { PlatformError } from '@skylarkreach/core/ports';
import type { HttpExchange } from '@skylarkreach/daemon';
import { HttpRouter } from '@skylarkreach/daemon';

import { readText, sendJson, StandInServer } from '../http/index.js';

const CALL_TIMEOUT_MS = 5_000;

const putSchema = z.object({ value: z.string(), expectedVersion: z.number() });
const watchSchema = z.object({
  prefix: z.string(),
  afterRevision: z.number(),
  deadlineAtMs: z.number(),
});
const leaseRequestSchema = z.object({
  name: z.string(),
  holder: z.string(),
  expiresAtMs: z.number(),
  deadlineAtMs: z.number(),
});
const leaseSchema = z.object({
  name: z.string(),
  holder: z.string(),
  fencingNumber: z.number(),
  expiresAtMs: z.number(),
});

/** Serves a key-value store over HTTP, in place of the platform's service. */
export class KeyValueServer {
  private readonly server: StandInServer;

  constructor(
    address: Address,
    private readonly store: KeyValue,
  ) {
    const router = new HttpRouter()
      .add('GET', '/v1/keys', exchange => this.list(exchange))
      .add('GET', '/v1/keys/{key}', exchange => this.get(exchange))
      .add('PUT', '/v1/keys/{key}', exchange => this.put(exchange))
      .add('POST', '/v1/watch', exchange => this.watch(exchange))
      .add('POST', '/v1/leases', exchange => this.acquireLease(exchange))
      .add('POST', '/v1/leases/release', exchange =>
        this.releaseLease(exchange),
      );
    this.server = new StandInServer(address, router);
  }

  listen(): Promise<Address> {
    return this.server.listen();
  }

  destroy(): void {
    this.server.destroy();
  }

  private async list({ response, url }: HttpExchange): Promise<void> {
    const prefix = url.searchParams.get('prefix') ?? '';
    await answer(response, async () => ({
      entries: await this.store.list(prefix, callDeadline()),
    }));
  }

  private async get({ params, response }: HttpExchange): Promise<void> {
    const key = params.key ?? '';
    await answer(response, () => this.store.get(key, callDeadline()));
  }

  private async put(exchange: HttpExchange): Promise<void> {
    const { params, request, response } = exchange;
    const body = putSchema.parse(JSON.parse(await readText(request)));
    await answer(response, () =>
      this.store.put({
        key: params.key ?? '',
        ...body,
        deadlineAtMs: callDeadline(),
      }),
    );
  }

  private async watch({ request, response }: HttpExchange): Promise<void> {
    const body = watchSchema.parse(JSON.parse(await readText(request)));
    await answer(response, () => this.store.watch(body));
  }

  private async acquireLease(exchange: HttpExchange): Promise<void> {
    const { request, response } = exchange;
    const body = leaseRequestSchema.parse(JSON.parse(await readText(request)));
    await answer(response, async () => ({
      lease: await this.store.acquireLease(body),
    }));
  }

  private async releaseLease(exchange: HttpExchange): Promise<void> {
    const { request, response } = exchange;
    const lease = leaseSchema.parse(JSON.parse(await readText(request)));
    await answer(response, async () => {
      await this.store.releaseLease(lease, callDeadline());
      return {};
    });
  }
}

function callDeadline(): number {
  return Date.now() + CALL_TIMEOUT_MS;
}

async function answer(
  response: HttpExchange['response'],
  call: () => Promise<unknown>,
): Promise<void> {
  try {
    const body = await call();
    if (body === undefined) sendJson(response, 404, {});
    else sendJson(response, 200, body);
  } catch (error) {
    if (!(error instanceof PlatformError)) throw error;
    // A caller cannot tell a lost answer from a broken connection.
    response.destroy();
  }
}
