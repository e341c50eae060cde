import { createJSONRPCRequest } from 'json-rpc-2.0';
import { z } from 'zod';

import type {
  Address,
  Clock,
  Metrics,
  PeerClient,
  PeerMethod,
} from '@skylarkreach/core/ports';
import { PeerMessageError } from '@skylarkreach/core/ports';

import type { HttpClient } from '../adapters/index.js';
import { MessageSigner } from './message-signature.js';

const responseSchema = z.object({
  jsonrpc: z.literal('2.0'),
  id: z.number(),
  result: z.unknown().optional(),
  error: z.object({ code: z.number(), message: z.string() }).optional(),
});

/** Calls other daemons by JSON-RPC 2.0 over HTTP with signed messages. */
export class HttpPeer implements PeerClient {
  private nextId = 1;
  private readonly signer: MessageSigner;

  constructor(
    private readonly http: HttpClient,
    peerSecret: string,
    clock: Clock,
    private readonly metrics: Metrics,
  ) {
    this.signer = new MessageSigner(peerSecret, clock);
  }

  async call<Params, Result>(
    address: Address,
    method: PeerMethod<Params, Result>,
    params: Params,
    deadlineAtMs: number,
  ): Promise<Result> {
    const id = this.nextId;
    this.nextId += 1;
    const rpc = createJSONRPCRequest(id, method.name, params);
    const body = JSON.stringify(rpc);
    const response = await this.http.sendJson({
      address,
      method: 'POST',
      path: '/rpc',
      headers: this.signer.sign(address, body),
      body,
      deadlineAtMs,
      // A busy peer reads messages late, and still learns from them; a reset would make its system drop them.
      mayArriveLate: true,
    });
    try {
      return parseResult(address, method, id, response);
    } catch (error) {
      this.metrics.increment('peers.failedCalls', 1, { method: method.name });
      throw error;
    }
  }
}

function parseResult<Params, Result>(
  address: Address,
  method: PeerMethod<Params, Result>,
  id: number,
  response: unknown,
): Result {
  const parsed = responseSchema.safeParse(response);
  if (!parsed.success || parsed.data.id !== id) {
    throw new PeerMessageError(`${address} sent a malformed response.`);
  }
  const rpcResponse = parsed.data;
  if (rpcResponse.error !== undefined) {
    throw new PeerMessageError(
      `${address} failed ${method.name}: ${rpcResponse.error.message}`,
    );
  }
  const result = method.result.safeParse(rpcResponse.result);
  if (result.success) return result.data;
  throw new PeerMessageError(
    `${address} sent a result that does not match the schema of ${method.name}.`,
  );
}
