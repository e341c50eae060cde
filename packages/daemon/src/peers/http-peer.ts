import { createJSONRPCRequest } from 'json-rpc-2.0';
import { z } from 'zod';

import type {
  Address,
  Clock,
  Peer,
  PeerMethod,
} from '@skylarkreach/core/ports';
import { PeerMessageError } from '@skylarkreach/core/ports';

import type { HttpClient } from '../adapters/index.js';
import { MessageSealer } from './message-seal.js';

const responseSchema = z.object({
  jsonrpc: z.literal('2.0'),
  id: z.number(),
  result: z.unknown().optional(),
  error: z.object({ code: z.number(), message: z.string() }).optional(),
});

/** Calls other daemons by JSON-RPC 2.0 over HTTP. */
export class HttpPeer implements Peer {
  private nextId = 1;
  private readonly sealer: MessageSealer;

  constructor(
    private readonly http: HttpClient,
    peerSecret: string,
    clock: Clock,
  ) {
    this.sealer = new MessageSealer(peerSecret, clock);
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
    const answer = await this.http.sendJson({
      address,
      method: 'POST',
      path: '/rpc',
      headers: this.sealer.seal(address, body),
      body,
      deadlineAtMs,
    });
    return readResult(address, method, id, answer);
  }
}

function readResult<Params, Result>(
  address: Address,
  method: PeerMethod<Params, Result>,
  id: number,
  answer: unknown,
): Result {
  const parsed = responseSchema.safeParse(answer);
  if (!parsed.success || parsed.data.id !== id) {
    throw new PeerMessageError(`${address} sent a malformed answer.`);
  }
  const response = parsed.data;
  if (response.error !== undefined) {
    throw new PeerMessageError(
      `${address} failed ${method.name}: ${response.error.message}`,
    );
  }
  const result = method.result.safeParse(response.result);
  if (result.success) return result.data;
  throw new PeerMessageError(
    `${address} sent a result that does not fit ${method.name}.`,
  );
}
