import { request as sendRequest } from 'undici';
import { z } from 'zod';

import type { Address, EngineEvent } from '@skylarkreach/core/ports';
import {
  EngineOrderKind,
  NotFoundError,
  Priority,
  RefusedError,
} from '@skylarkreach/core/ports';
import type { HttpExchange } from '@skylarkreach/daemon';
import { HttpRouter } from '@skylarkreach/daemon';

import { readText, sendJson, StandInServer } from '../http/index.js';
import type { ModelEngine } from './model-engine.js';

const generateSchema = z.object({
  streamId: z.string(),
  model: z.string(),
  messages: z.array(z.object({ role: z.string(), content: z.string() })),
  maxTokens: z.number(),
  sentText: z.string(),
  sentTokens: z.number(),
  priority: z.enum(Priority),
  deadlineAtMs: z.number(),
});
const orderSchema = z.object({
  orderId: z.string(),
  kind: z.enum(EngineOrderKind),
  target: z.string(),
  fencingNumber: z.number(),
  deadlineAtMs: z.number(),
});
const exportSchema = z.object({ to: z.string() });
const importSchema = z.object({ blockHashes: z.array(z.string()) });

/** HTTP server of a model engine; token streams are sent as server-sent events. */
export class EngineServer {
  private readonly server: StandInServer;
  private readonly stopController = new AbortController();

  constructor(
    address: Address,
    private readonly engine: ModelEngine,
  ) {
    const router = new HttpRouter()
      .add('POST', '/v1/streams', exchange => this.generate(exchange))
      .add('GET', '/v1/streams/{id}', exchange => this.resume(exchange))
      .add('DELETE', '/v1/streams/{id}', ({ params, response }) => {
        engine.cancel(params.id ?? '');
        return sendOk(response, {});
      })
      .add('POST', '/v1/streams/{id}/cache-exports', exchange =>
        this.exportCache(exchange),
      )
      .add('POST', '/v1/cache-imports', async ({ request, response }) => {
        const body = importSchema.parse(JSON.parse(await readText(request)));
        engine.importCache(body.blockHashes);
        sendJson(response, 200, {});
      })
      .add('GET', '/v1/load', ({ response }) => sendOk(response, engine.load()))
      .add('GET', '/v1/cache-events', ({ response, url }) => {
        const after = Number(url.searchParams.get('afterSequence') ?? 0);
        return sendOk(response, { events: engine.cacheEvents(after) });
      })
      .add('POST', '/v1/orders', async ({ request, response }) => {
        const order = orderSchema.parse(JSON.parse(await readText(request)));
        sendJson(response, 200, { outcome: engine.applyOrder(order) });
      })
      .add('GET', '/v1/inventory', ({ response }) =>
        sendOk(response, engine.inventory()),
      );
    this.server = new StandInServer(address, router);
  }

  /** Starts the engine's batching loop and the server; returns the bound address. */
  async listen(): Promise<Address> {
    void this.engine.run(this.stopController.signal);
    return this.server.listen();
  }

  /** Stops the engine immediately and breaks all its streams. */
  destroy(): void {
    this.stopController.abort();
    this.server.destroy();
    this.engine.breakStreams();
  }

  private async generate({ request, response }: HttpExchange): Promise<void> {
    const body = generateSchema.parse(JSON.parse(await readText(request)));
    await sendEvents(response, signal => this.engine.generate(body, signal));
  }

  private async resume(exchange: HttpExchange): Promise<void> {
    const { params, response, url } = exchange;
    const fromToken = Number(url.searchParams.get('fromToken') ?? 0);
    await sendEvents(response, signal =>
      this.engine.resume(params.id ?? '', fromToken, signal),
    );
  }

  private async exportCache(exchange: HttpExchange): Promise<void> {
    const { params, request, response } = exchange;
    const { to } = exportSchema.parse(JSON.parse(await readText(request)));
    const blockHashes = this.engine.exportCache(params.id ?? '');
    const importResponse = await sendRequest(`http://${to}/v1/cache-imports`, {
      method: 'POST',
      body: JSON.stringify({ blockHashes }),
    });
    await importResponse.body.dump();
    sendJson(response, importResponse.statusCode, {});
  }
}

function sendOk(
  response: HttpExchange['response'],
  body: unknown,
): Promise<void> {
  sendJson(response, 200, body);
  return Promise.resolve();
}

/** Streams engine events as server-sent events; aborts the source when the client disconnects. */
async function sendEvents(
  response: HttpExchange['response'],
  openStream: (signal: AbortSignal) => AsyncIterable<EngineEvent>,
): Promise<void> {
  const disconnectController = new AbortController();
  response.on('close', () => {
    disconnectController.abort();
  });
  try {
    const events = openStream(disconnectController.signal);
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.flushHeaders();
    for await (const event of events) {
      response.write(`data: ${JSON.stringify(event)}\n\n`);
    }
    response.end();
  } catch (error) {
    sendFailure(response, error);
  }
}

/** Maps an error to an HTTP status, or drops the connection if headers have been sent. */
function sendFailure(response: HttpExchange['response'], error: unknown): void {
  if (response.headersSent) {
    response.destroy();
  } else if (error instanceof RefusedError) {
    response.setHeader('x-leaving', String(error.leaving));
    sendJson(response, 503, { message: error.message });
  } else if (error instanceof NotFoundError) {
    sendJson(response, 404, { message: error.message });
  } else {
    throw error;
  }
}
