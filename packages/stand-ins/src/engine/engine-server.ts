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

/** Serves a model engine over HTTP and server-sent events. */
export class EngineServer {
  private readonly server: StandInServer;
  private readonly stopSignal = new AbortController();

  constructor(
    address: Address,
    private readonly engine: ModelEngine,
  ) {
    const router = new HttpRouter()
      .add('POST', '/v1/streams', exchange => this.generate(exchange))
      .add('GET', '/v1/streams/{id}', exchange => this.resume(exchange))
      .add('DELETE', '/v1/streams/{id}', ({ params, response }) => {
        engine.cancel(params.id ?? '');
        return reply(response, {});
      })
      .add('POST', '/v1/streams/{id}/cache-exports', exchange =>
        this.exportCache(exchange),
      )
      .add('POST', '/v1/cache-imports', async ({ request, response }) => {
        const body = importSchema.parse(JSON.parse(await readText(request)));
        engine.importCache(body.blockHashes);
        sendJson(response, 200, {});
      })
      .add('GET', '/v1/load', ({ response }) => reply(response, engine.load()))
      .add('GET', '/v1/cache-events', ({ response, url }) => {
        const after = Number(url.searchParams.get('afterSequence') ?? 0);
        return reply(response, { events: engine.cacheEvents(after) });
      })
      .add('POST', '/v1/orders', async ({ request, response }) => {
        const order = orderSchema.parse(JSON.parse(await readText(request)));
        sendJson(response, 200, { outcome: engine.order(order) });
      })
      .add('GET', '/v1/inventory', ({ response }) =>
        reply(response, engine.inventory()),
      );
    this.server = new StandInServer(address, router);
  }

  async listen(): Promise<Address> {
    void this.engine.run(this.stopSignal.signal);
    return this.server.listen();
  }

  /** Takes the engine away at once, with all its streams. */
  destroy(): void {
    this.stopSignal.abort();
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
    const answer = await sendRequest(`http://${to}/v1/cache-imports`, {
      method: 'POST',
      body: JSON.stringify({ blockHashes }),
    });
    await answer.body.dump();
    sendJson(response, answer.statusCode, {});
  }
}

function reply(
  response: HttpExchange['response'],
  body: unknown,
): Promise<void> {
  sendJson(response, 200, body);
  return Promise.resolve();
}

async function sendEvents(
  response: HttpExchange['response'],
  open: (signal: AbortSignal) => AsyncIterable<EngineEvent>,
): Promise<void> {
  const closed = new AbortController();
  response.on('close', () => {
    closed.abort();
  });
  try {
    const events = open(closed.signal);
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.flushHeaders();
    for await (const event of events) {
      response.write(`data: ${JSON.stringify(event)}\n\n`);
    }
    response.end();
  } catch (error) {
    endFailed(response, error);
  }
}

function endFailed(response: HttpExchange['response'], error: unknown): void {
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
