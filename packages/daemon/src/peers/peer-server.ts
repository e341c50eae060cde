import type { IncomingMessage, ServerResponse } from 'node:http';

import { JSONRPCServer } from 'json-rpc-2.0';
import { z } from 'zod';

import type {
  Address,
  Clock,
  Metrics,
  PeerHandler,
  PeerMethod,
  PeerRegistry,
} from '@skylarkreach/core/ports';

import { BodyError, BodyErrorKind, readBody } from '../http/index.js';
import { MessageVerifier, SealFault, SealHeader } from './message-seal.js';

/** Largest message between daemons, in bytes. */
export const MAX_PEER_MESSAGE_BYTES = 4_000_000;

const BODY_TIMEOUT_MS = 5_000;
const UNSPECIFIED_HOST = '0.0.0.0';

/** Why a message was refused before any method saw it; the tag of its count. */
export enum PeerRefusal {
  Unauthenticated = 'unauthenticated',
  OutsideWindow = 'outsideWindow',
  Replayed = 'replayed',
  TooLarge = 'tooLarge',
  Malformed = 'malformed',
}

const STATUS_BY_REFUSAL: Readonly<Record<PeerRefusal, number>> = {
  [PeerRefusal.Unauthenticated]: 401,
  [PeerRefusal.OutsideWindow]: 401,
  [PeerRefusal.Replayed]: 401,
  [PeerRefusal.TooLarge]: 413,
  [PeerRefusal.Malformed]: 400,
};

const REFUSAL_BY_FAULT: Readonly<Record<SealFault, PeerRefusal>> = {
  [SealFault.Unauthenticated]: PeerRefusal.Unauthenticated,
  [SealFault.OutsideWindow]: PeerRefusal.OutsideWindow,
  [SealFault.Replayed]: PeerRefusal.Replayed,
};

const requestSchema = z.object({
  jsonrpc: z.literal('2.0'),
  id: z.union([z.string(), z.number()]),
  method: z.string(),
  params: z.unknown(),
});

type RpcRequest = z.output<typeof requestSchema>;

class RefusedMessage extends Error {
  constructor(readonly refusal: PeerRefusal) {
    super(`The message is refused: ${refusal}.`);
  }
}

/** JSON-RPC 2.0 interface for the other daemons. */
export class PeerServer implements PeerRegistry {
  private readonly rpc = new JSONRPCServer({ errorListener: ignoreError });
  private readonly verifier: MessageVerifier;
  private readonly refusals = new Map<PeerRefusal, number>();
  private ownAddress: Address | undefined;

  constructor(
    peerSecret: string,
    private readonly metrics: Metrics,
    clock: Clock,
  ) {
    this.verifier = new MessageVerifier(peerSecret, clock);
  }

  /** Refuses messages that were sealed for another daemon than the one bound to `address`. */
  acceptCallsTo(address: Address): void {
    const isSpecific = !address.startsWith(UNSPECIFIED_HOST);
    this.ownAddress = isSpecific ? address : undefined;
  }

  /** Messages refused so far. */
  refused(refusal: PeerRefusal): number {
    return this.refusals.get(refusal) ?? 0;
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
    try {
      const message = await this.readMessage(request);
      const answer = JSON.stringify(await this.rpc.receive(message));
      response.sendDate = false;
      response.writeHead(200, {
        'content-length': Buffer.byteLength(answer),
      });
      response.end(answer);
    } catch (error) {
      if (!(error instanceof RefusedMessage)) throw error;
      this.refuse(response, error.refusal);
    }
  }

  private async readMessage(request: IncomingMessage): Promise<RpcRequest> {
    // A sender without the headers of the credential has no body read.
    if (request.headers[SealHeader.Signature] === undefined) {
      throw new RefusedMessage(PeerRefusal.Unauthenticated);
    }
    const body = await readBounded(request);
    const fault = this.checkSeal(request, body);
    if (fault !== undefined) throw new RefusedMessage(REFUSAL_BY_FAULT[fault]);
    return parseRequest(body);
  }

  private checkSeal(
    request: IncomingMessage,
    body: string,
  ): SealFault | undefined {
    const target = request.headers.host ?? '';
    if (this.ownAddress !== undefined && target !== this.ownAddress) {
      return SealFault.Unauthenticated;
    }
    const sentAtMs = Number(headerOf(request, SealHeader.SentAt));
    const nonce = headerOf(request, SealHeader.Nonce);
    const signature = headerOf(request, SealHeader.Signature);
    return this.verifier.check({ target, sentAtMs, nonce, body }, signature);
  }

  private refuse(response: ServerResponse, refusal: PeerRefusal): void {
    this.refusals.set(refusal, this.refused(refusal) + 1);
    this.metrics.increment('peers.refused', 1, { reason: refusal });
    response.writeHead(STATUS_BY_REFUSAL[refusal], { connection: 'close' });
    response.end();
  }
}

async function readBounded(request: IncomingMessage): Promise<string> {
  try {
    return await readBody(request, {
      maxBytes: MAX_PEER_MESSAGE_BYTES,
      timeout: AbortSignal.timeout(BODY_TIMEOUT_MS),
    });
  } catch (error) {
    if (!(error instanceof BodyError)) throw error;
    const isTooLarge = error.kind === BodyErrorKind.TooLarge;
    throw new RefusedMessage(
      isTooLarge ? PeerRefusal.TooLarge : PeerRefusal.Malformed,
    );
  }
}

function parseRequest(body: string): RpcRequest {
  try {
    return requestSchema.parse(JSON.parse(body));
  } catch (error) {
    const isMalformed =
      error instanceof SyntaxError || error instanceof z.ZodError;
    if (isMalformed) throw new RefusedMessage(PeerRefusal.Malformed);
    throw error;
  }
}

function headerOf(request: IncomingMessage, name: SealHeader): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}

function ignoreError(): void {
  // The caller is told; a failed handler logs its own cause.
}
