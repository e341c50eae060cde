import { z } from 'zod';

import type { RelayedRequest } from '@skylarkreach/core/forwarding';

/** Path of the peers' server for requests that a daemon passes on. */
export const RELAY_PATH = '/relay';

/** Headers that a peer adds to the response to a request that was passed on to it. */
export enum RelayHeader {
  /** Endpoint that the request was sent to last. */
  Endpoint = 'x-relay-endpoint',
  /** Reason for which no endpoint executed the request; absent from the response of an endpoint. */
  NotRun = 'x-relay-not-run',
}

/** Largest part of a message besides the body of its request: headers of the largest size that the server for callers reads, as JSON. */
export const MAX_RELAY_HEAD_BYTES = 262_144;

const headSchema = z.object({
  requestId: z.string(),
  method: z.string(),
  target: z.string(),
  headers: z.array(z.string()),
  hasBody: z.boolean(),
  remainingMs: z.number().positive(),
  lastEventId: z.string().optional(),
  excludedIds: z.array(z.string()),
});

export type RelayHead = Readonly<z.output<typeof headSchema>>;

export interface RelayMessage {
  readonly head: RelayHead;
  readonly body: Uint8Array | undefined;
}

const HEAD_END = 0x0a; // JSON text has no line end

/** Returns a message: the head as a line of JSON, followed by the request's body. */
export function encodeRelayMessage(relayed: RelayedRequest): Uint8Array {
  const { excludedIds, lastEventId, remainingMs, request } = relayed;
  const { body, headers, method, requestId, target } = request;
  const head: RelayHead = {
    requestId,
    method,
    target,
    headers: [...headers],
    hasBody: body !== undefined,
    remainingMs,
    ...(lastEventId !== undefined && { lastEventId }),
    excludedIds: [...excludedIds],
  };
  const line = Buffer.from(`${JSON.stringify(head)}\n`);
  return body === undefined ? line : Buffer.concat([line, body]);
}

/** Returns undefined if the bytes are no message. */
export function decodeRelayMessage(bytes: Buffer): RelayMessage | undefined {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd < 0) return undefined;
  try {
    const text = bytes.subarray(0, headEnd).toString('utf8');
    const head = headSchema.parse(JSON.parse(text));
    const body = head.hasBody ? bytes.subarray(headEnd + 1) : undefined;
    return { head, body };
  } catch {
    return undefined;
  }
}
