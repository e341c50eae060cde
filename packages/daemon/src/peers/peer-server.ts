import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { JSONRPCServer } from 'json-rpc-2.0';
import { z } from 'zod';

import type {
  Metrics,
  PeerHandler,
  PeerMethod,
  PeerRegistry,
} from '@skylarkreach/core/platform';

import { bearerToken, BodyError, readBody } from '../http/index.js';

/** Largest message between daemons, in bytes. */
export const MAX_PEER_MESSAGE_BYTES = 4_000_000;

const BODY_TIMEOUT_MS = 5_000;

const requestSchema = z.object({
  jsonrpc: z.literal('2.0'),
  id: z.union([z.string(), z.number()]),
  method: z.string(),
  params: z.unknown(),
});

/** JSON-RPC 2.0 interface for the other daemons. */
export class PeerServer implements PeerRegistry {
  private readonly rpc = new JSONRPCServer({ errorListener: ignoreError });
  private readonly secretDigest: Buffer;

  constructor(
    peerSecret: string,
    private readonly metrics: Metrics,
  ) {
    this.secretDigest = digestOf(peerSecret);
  }

  handle<Params, Result>(
    method: PeerMethod<Params, Result>,
    handler: PeerHandler<Params, Result>,
  ): void {
    this.rpc.addMethod(method.name, async (params: unknown) =>
      handler(method.params.parse(params)),
    );
  }

  /** Answers one HTTP request; what cannot be used is refused and counted. */
  async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (!this.isAuthentic(request)) {
      this.refuse(response, 401, 'unauthenticated');
      return;
    }
    const message = await this.readMessage(request);
    if (message === undefined) {
      this.refuse(response, 400, 'malformed');
      return;
    }
    const answer = await this.rpc.receive(message);
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify(answer));
  }

  private isAuthentic(request: IncomingMessage): boolean {
    const token = bearerToken(request);
    return (
      token !== undefined && timingSafeEqual(digestOf(token), this.secretDigest)
    );
  }

  private async readMessage(
    request: IncomingMessage,
  ): Promise<z.output<typeof requestSchema> | undefined> {
    try {
      const text = await readBody(request, {
        maxBytes: MAX_PEER_MESSAGE_BYTES,
        timeout: AbortSignal.timeout(BODY_TIMEOUT_MS),
      });
      return requestSchema.parse(JSON.parse(text));
    } catch (error) {
      const isCallersFault =
        error instanceof BodyError ||
        error instanceof SyntaxError ||
        error instanceof z.ZodError;
      if (isCallersFault) return undefined;
      throw error;
    }
  }

  private refuse(
    response: ServerResponse,
    status: number,
    reason: string,
  ): void {
    this.metrics.increment('peers.refused', 1, { reason });
    response.writeHead(status, { connection: 'close' });
    response.end();
  }
}

function digestOf(secret: string): Buffer {
  return createHash('sha256').update(secret).digest();
}

function ignoreError(): void {
  // The caller is told; a failed handler logs its own cause.
}
