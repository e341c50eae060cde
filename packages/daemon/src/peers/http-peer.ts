import { createJSONRPCRequest } from 'json-rpc-2.0';
import { z } from 'zod';

import type { Address, Peer, PeerMethod } from '@skylarkreach/core/platform';
import { PeerMessageError } from '@skylarkreach/core/platform';

import type { HttpClient } from '../adapters/index.js';

const responseSchema = z.object({
  jsonrpc: z.literal('2.0'),
  id: z.number(),
  result: z.unknown().optional(),
  error: z.object({ code: z.number(), message: z.string() }).optional(),
});

/** Calls other daemons by JSON-RPC 2.0 over HTTP. */
export class HttpPeer implements Peer {
  private nextId = 1;

  constructor(
    private readonly http: HttpClient,
    private readonly peerSecret: string,
  ) {}

  async call<Params, Result>(
    address: Address,
    method: PeerMethod<Params, Result>,
    params: Params,
    deadlineAtMs: number,
  ): Promise<Result> {
    const id = this.nextId;
    this.nextId += 1;
    const answer = await this.http.sendJson({
      address,
      method: 'POST',
      path: '/rpc',
      headers: { authorization: `Bearer ${this.peerSecret}` },
      body: JSON.stringify(createJSONRPCRequest(id, method.name, params)),
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
