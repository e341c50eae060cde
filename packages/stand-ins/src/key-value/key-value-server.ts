import { z } from 'zod';

import type { Address, KeyValueStore } from '@skylarkreach/core/ports';
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

/** HTTP server that exposes a `KeyValue` store through the API of the platform's key-value service. */
export class KeyValueServer {
  private readonly server: StandInServer;

  constructor(
    address: Address,
    private readonly store: KeyValueStore,
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

  /** Starts listening and returns the bound address. */
  listen(): Promise<Address> {
    return this.server.listen();
  }

  /** Closes the server and its open connections immediately. */
  destroy(): void {
    this.server.destroy();
  }

  private async list({ response, url }: HttpExchange): Promise<void> {
    const prefix = url.searchParams.get('prefix') ?? '';
    await sendResult(response, async () => ({
      entries: await this.store.list(prefix, callDeadlineAtMs()),
    }));
  }

  private async get({ params, response }: HttpExchange): Promise<void> {
    const key = params.key ?? '';
    await sendResult(response, () => this.store.get(key, callDeadlineAtMs()));
  }

  private async put(exchange: HttpExchange): Promise<void> {
    const { params, request, response } = exchange;
    const body = putSchema.parse(JSON.parse(await readText(request)));
    await sendResult(response, () =>
      this.store.put({
        key: params.key ?? '',
        ...body,
        deadlineAtMs: callDeadlineAtMs(),
      }),
    );
  }

  private async watch({ request, response }: HttpExchange): Promise<void> {
    const body = watchSchema.parse(JSON.parse(await readText(request)));
    await sendResult(response, () => this.store.watch(body));
  }

  private async acquireLease(exchange: HttpExchange): Promise<void> {
    const { request, response } = exchange;
    const body = leaseRequestSchema.parse(JSON.parse(await readText(request)));
    await sendResult(response, async () => ({
      lease: await this.store.acquireLease(body),
    }));
  }

  private async releaseLease(exchange: HttpExchange): Promise<void> {
    const { request, response } = exchange;
    const lease = leaseSchema.parse(JSON.parse(await readText(request)));
    await sendResult(response, async () => {
      await this.store.releaseLease(lease, callDeadlineAtMs());
      return {};
    });
  }
}

function callDeadlineAtMs(): number {
  return Date.now() + CALL_TIMEOUT_MS;
}

/** Sends the result of a store call: 404 for `undefined`, a dropped connection for a `PlatformError`. */
async function sendResult(
  response: HttpExchange['response'],
  call: () => Promise<unknown>,
): Promise<void> {
  try {
    const body = await call();
    if (body === undefined) sendJson(response, 404, {});
    else sendJson(response, 200, body);
  } catch (error) {
    if (!(error instanceof PlatformError)) throw error;
    // Clients see a lost response as a broken connection and must treat the outcome as unknown.
    response.destroy();
  }
}
