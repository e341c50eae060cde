import type { IncomingMessage, ServerResponse } from 'node:http';

import { JSONRPCServer } from 'json-rpc-2.0';
import { z } from 'zod';

import type { RequestMemory } from '@skylarkreach/core/forwarding';
import type {
  Address,
  Clock,
  Metrics,
  PeerHandler,
  PeerMethod,
  PeerRegistry,
} from '@skylarkreach/core/ports';

import { BodyError, BodyErrorKind, readBody } from '../http/index.js';
import {
  MessageVerifier,
  SignatureHeader,
  VerificationFailure,
} from './message-signature.js';

/** Maximum size of a message between daemons, in bytes. */
export const MAX_PEER_MESSAGE_BYTES = 4_000_000;

const BODY_TIMEOUT_MS = 5_000;
const UNSPECIFIED_HOST = '0.0.0.0';

/** Reason for which a message is refused before its method runs; tags the metric of refused messages. */
export enum PeerRefusal {
  Unauthenticated = 'unauthenticated',
  OutsideWindow = 'outsideWindow',
  Replayed = 'replayed',
  TooLarge = 'tooLarge',
  Malformed = 'malformed',
  /** There is no memory for the message. */
  NoMemory = 'noMemory',
  /** A method that this build does not have; the response says so. */
  UnknownMethod = 'unknownMethod',
  /** Parameters that this build cannot read; the response says so. */
  UnreadableParams = 'unreadableParams',
}

/** Refusal of a whole message, by its HTTP status. */
type MessageRefusal = Exclude<
  PeerRefusal,
  PeerRefusal.UnknownMethod | PeerRefusal.UnreadableParams
>;

const STATUS_BY_REFUSAL: Readonly<Record<MessageRefusal, number>> = {
  [PeerRefusal.Unauthenticated]: 401,
  [PeerRefusal.OutsideWindow]: 401,
  [PeerRefusal.Replayed]: 401,
  [PeerRefusal.TooLarge]: 413,
  [PeerRefusal.Malformed]: 400,
  [PeerRefusal.NoMemory]: 503,
};

const REFUSAL_BY_FAILURE: Readonly<
  Record<VerificationFailure, MessageRefusal>
> = {
  [VerificationFailure.Unauthenticated]: PeerRefusal.Unauthenticated,
  [VerificationFailure.OutsideWindow]: PeerRefusal.OutsideWindow,
  [VerificationFailure.Replayed]: PeerRefusal.Replayed,
};

const requestSchema = z.object({
  jsonrpc: z.literal('2.0'),
  id: z.union([z.string(), z.number()]),
  method: z.string(),
  params: z.unknown(),
});

const REFUSAL_BY_BODY_ERROR: Readonly<Record<BodyErrorKind, MessageRefusal>> = {
  [BodyErrorKind.TooLarge]: PeerRefusal.TooLarge,
  [BodyErrorKind.TooSlow]: PeerRefusal.Malformed,
  [BodyErrorKind.CutOff]: PeerRefusal.Malformed,
  [BodyErrorKind.NoMemory]: PeerRefusal.NoMemory,
};

type RpcRequest = z.output<typeof requestSchema>;

/** Thrown where a message is refused. */
class RefusedMessageError extends Error {
  constructor(readonly refusal: MessageRefusal) {
    super(`The message was refused: ${refusal}.`);
  }
}

/** JSON-RPC 2.0 server for the other daemons. Accepts signed messages only. */
export class PeerServer implements PeerRegistry {
  private readonly rpc = new JSONRPCServer({ errorListener: ignoreError });
  private readonly verifier: MessageVerifier;
  private readonly refusals = new Map<PeerRefusal, number>();
  private ownAddress: Address | undefined;

  constructor(
    peerSecret: string,
    private readonly metrics: Metrics,
    clock: Clock,
    /** Account of the memory of messages that are being read; undefined if only their size is bounded. */
    private readonly requestMemory?: RequestMemory,
  ) {
    this.verifier = new MessageVerifier(peerSecret, clock);
  }

  /**
   * Sets the address that messages must be signed for. Messages for another
   * target are refused; an unspecified host (0.0.0.0) turns the check off.
   */
  setOwnAddress(address: Address): void {
    const isSpecific = !address.startsWith(UNSPECIFIED_HOST);
    this.ownAddress = isSpecific ? address : undefined;
  }

  /** Returns the number of messages refused for a reason so far. */
  refusedCount(refusal: PeerRefusal): number {
    return this.refusals.get(refusal) ?? 0;
  }

  /** Registers the handler of a method; its parameters are validated first. */
  handle<Params, Result>(
    method: PeerMethod<Params, Result>,
    handler: PeerHandler<Params, Result>,
  ): void {
    this.rpc.addMethod(method.name, async (params: unknown) => {
      const parsed = method.params.safeParse(params);
      if (parsed.success) return handler(parsed.data);
      this.countRefusal(PeerRefusal.UnreadableParams);
      throw parsed.error;
    });
  }

  /** Answers one HTTP request; invalid messages are refused and counted. An unexpected error closes the connection. Never rejects. */
  async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const message = await this.readMessage(request);
      if (!this.rpc.hasMethod(message.method))
        this.countRefusal(PeerRefusal.UnknownMethod);
      const responseBody = JSON.stringify(await this.rpc.receive(message));
      response.sendDate = false;
      response.writeHead(200, {
        'content-length': Buffer.byteLength(responseBody),
      });
      response.end(responseBody);
    } catch (error) {
      if (error instanceof RefusedMessageError) {
        this.refuse(response, error.refusal);
        return;
      }
      this.metrics.increment('peers.failed');
      response.destroy();
    }
  }

  private async readMessage(request: IncomingMessage): Promise<RpcRequest> {
    // The body of a sender without a signature is not read.
    if (request.headers[SignatureHeader.Signature] === undefined) {
      throw new RefusedMessageError(PeerRefusal.Unauthenticated);
    }
    const body = await this.readMessageBody(request);
    const failure = this.verifySignature(request, body);
    if (failure !== undefined)
      throw new RefusedMessageError(REFUSAL_BY_FAILURE[failure]);
    return parseRequest(body);
  }

  private async readMessageBody(request: IncomingMessage): Promise<string> {
    const caller = `peers/${request.socket.remoteAddress ?? ''}`;
    const memory = this.requestMemory?.open(caller);
    try {
      return await readBody(request, {
        maxBytes: MAX_PEER_MESSAGE_BYTES,
        timeout: AbortSignal.timeout(BODY_TIMEOUT_MS),
        memory,
      });
    } catch (error) {
      if (!(error instanceof BodyError)) throw error;
      throw new RefusedMessageError(REFUSAL_BY_BODY_ERROR[error.kind]);
    } finally {
      memory?.close();
    }
  }

  /** Returns the reason for which a message was not sent by a peer to this daemon; undefined if it was. */
  verifySignature(
    request: IncomingMessage,
    body: string | Uint8Array,
  ): VerificationFailure | undefined {
    const target = request.headers.host ?? '';
    if (this.ownAddress !== undefined && target !== this.ownAddress) {
      return VerificationFailure.Unauthenticated;
    }
    const sentAtMs = Number(getHeader(request, SignatureHeader.SentAt));
    const nonce = getHeader(request, SignatureHeader.Nonce);
    const signature = getHeader(request, SignatureHeader.Signature);
    return this.verifier.verify({ target, sentAtMs, nonce, body }, signature);
  }

  private refuse(response: ServerResponse, refusal: MessageRefusal): void {
    this.countRefusal(refusal);
    response.writeHead(STATUS_BY_REFUSAL[refusal], { connection: 'close' });
    response.end();
  }

  private countRefusal(refusal: PeerRefusal): void {
    this.refusals.set(refusal, this.refusedCount(refusal) + 1);
    this.metrics.increment('peers.refused', 1, { reason: refusal });
  }
}

function parseRequest(body: string): RpcRequest {
  try {
    return requestSchema.parse(JSON.parse(body));
  } catch (error) {
    const isMalformed =
      error instanceof SyntaxError || error instanceof z.ZodError;
    if (isMalformed) throw new RefusedMessageError(PeerRefusal.Malformed);
    throw error;
  }
}

function getHeader(request: IncomingMessage, name: SignatureHeader): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}

function ignoreError(): void {
  // The error is sent to the caller; a failed handler logs its own cause.
}
