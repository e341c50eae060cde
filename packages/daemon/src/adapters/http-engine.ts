import { createParser } from 'eventsource-parser';
import { z } from 'zod';

import type {
  Address,
  CacheEvent,
  EngineClient,
  EngineEvent,
  EngineInventory,
  EngineOrder,
  GenerateRequest,
  LoadReport,
  ResumeRequest,
} from '@skylarkreach/core/ports';
import {
  AnswerLostError,
  CacheEventKind,
  EngineEventKind,
  FinishReason,
  OrderOutcome,
  StreamBrokenError,
} from '@skylarkreach/core/ports';

import type { HttpClient, HttpResponse } from './http-client.js';
import { throwUnlessSuccessful } from './http-client.js';

const eventSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(EngineEventKind.Chunk),
    streamId: z.string(),
    tokenOffset: z.number(),
    tokens: z.number(),
    text: z.string(),
  }),
  z.object({
    kind: z.literal(EngineEventKind.Finish),
    streamId: z.string(),
    reason: z.enum(FinishReason),
    totalTokens: z.number(),
    promptTokens: z.number(),
    cachedTokens: z.number(),
  }),
]);
const loadSchema = z.object({
  reportedAtMs: z.number(),
  runningRequests: z.number(),
  queuedRequests: z.number(),
  queuedPrefillTokens: z.number(),
  decodingTokensLeft: z.number(),
  cacheUsedTokens: z.number(),
  cacheLimitTokens: z.number(),
  prefillTokensPerSecond: z.number(),
  decodeTokensPerSecond: z.number(),
  leaving: z.boolean(),
});
const cacheEventsSchema = z.object({
  events: z.array(
    z.object({
      sequence: z.number(),
      kind: z.enum(CacheEventKind),
      blockHashes: z.array(z.string()),
    }),
  ),
});
const orderSchema = z.object({ outcome: z.enum(OrderOutcome) });
const inventorySchema = z.object({
  models: z.array(z.string()),
  adapters: z.array(z.string()),
  versions: z.array(z.string()),
  role: z.string(),
  orderIds: z.array(z.string()),
});

/** Client of model engines over HTTP and server-sent events. */
export class HttpEngine implements EngineClient {
  constructor(private readonly http: HttpClient) {}

  async *generate(
    address: Address,
    request: GenerateRequest,
    signal: AbortSignal,
  ): AsyncGenerator<EngineEvent, void, undefined> {
    const response = await this.http.send({
      address,
      method: 'POST',
      path: '/v1/streams',
      body: JSON.stringify(request),
      deadlineAtMs: request.deadlineAtMs,
      signal,
      // An idle pooled connection may be unresponsive without any sign of it.
      freshConnection: true,
    });
    yield* readEvents(address, response);
  }

  async *resume(
    address: Address,
    request: ResumeRequest,
    signal: AbortSignal,
  ): AsyncGenerator<EngineEvent, void, undefined> {
    const response = await this.http.send({
      address,
      method: 'GET',
      path: `${streamPath(request.streamId)}?fromToken=${request.fromToken}`,
      deadlineAtMs: request.deadlineAtMs,
      signal,
      freshConnection: true,
    });
    yield* readEvents(address, response);
  }

  async cancel(
    address: Address,
    streamId: string,
    deadlineAtMs: number,
  ): Promise<void> {
    const path = streamPath(streamId);
    await this.http.sendJson({ address, method: 'DELETE', path, deadlineAtMs });
  }

  async load(address: Address, deadlineAtMs: number): Promise<LoadReport> {
    const response = await this.get(address, '/v1/load', deadlineAtMs);
    return parseAnswer(address, loadSchema, response);
  }

  async cacheEvents(
    address: Address,
    afterSequence: number,
    deadlineAtMs: number,
  ): Promise<readonly CacheEvent[]> {
    const path = `/v1/cache-events?afterSequence=${afterSequence}`;
    const response = await this.get(address, path, deadlineAtMs);
    return parseAnswer(address, cacheEventsSchema, response).events;
  }

  async moveCache(
    from: Address,
    to: Address,
    streamId: string,
    deadlineAtMs: number,
  ): Promise<void> {
    await this.http.sendJson({
      address: from,
      method: 'POST',
      path: `${streamPath(streamId)}/cache-exports`,
      body: JSON.stringify({ to }),
      deadlineAtMs,
    });
  }

  async order(address: Address, order: EngineOrder): Promise<OrderOutcome> {
    const response = await this.http.sendJson({
      address,
      method: 'POST',
      path: '/v1/orders',
      body: JSON.stringify(order),
      deadlineAtMs: order.deadlineAtMs,
    });
    return parseAnswer(address, orderSchema, response).outcome;
  }

  async inventory(
    address: Address,
    deadlineAtMs: number,
  ): Promise<EngineInventory> {
    const response = await this.get(address, '/v1/inventory', deadlineAtMs);
    return parseAnswer(address, inventorySchema, response);
  }

  private get(
    address: Address,
    path: string,
    deadlineAtMs: number,
  ): Promise<unknown> {
    return this.http.sendJson({ address, method: 'GET', path, deadlineAtMs });
  }
}

/** Returns an engine's answer. Throws `AnswerLostError` if it does not match the schema, so that one faulty engine fails only its own call. */
function parseAnswer<Output>(
  address: Address,
  schema: z.ZodType<Output>,
  response: unknown,
): Output {
  const parsed = schema.safeParse(response);
  if (parsed.success) return parsed.data;
  throw new AnswerLostError(`${address} sent a malformed answer.`, {
    cause: parsed.error,
  });
}

function streamPath(streamId: string): string {
  return `/v1/streams/${encodeURIComponent(streamId)}`;
}

/** Yields engine events up to the finish event. Throws `StreamBrokenError` if the stream ends before it. */
async function* readEvents(
  address: Address,
  response: HttpResponse,
): AsyncGenerator<EngineEvent, void, undefined> {
  await throwUnlessSuccessful(address, response);
  const pending: EngineEvent[] = [];
  const parser = createParser({
    onEvent: message => {
      pending.push(eventSchema.parse(JSON.parse(message.data)));
    },
  });
  const decoder = new TextDecoder();
  try {
    for await (const bytes of response.body) {
      parser.feed(decoder.decode(bytes as Uint8Array, { stream: true }));
      for (const event of pending.splice(0)) {
        yield event;
        if (event.kind === EngineEventKind.Finish) return;
      }
    }
  } catch (error) {
    throw new StreamBrokenError(
      `The event stream from ${address} failed (${String(error)}).`,
      { cause: error },
    );
  }
  throw new StreamBrokenError(
    `The event stream from ${address} ended before its finish event.`,
  );
}
