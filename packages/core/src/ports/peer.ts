import type { z } from 'zod';

import type { Address } from './topology.js';

/** One method that daemons call on one another, with the schemas of both messages. */
export interface PeerMethod<Params, Result> {
  /** `feature.verb`, as sent in the JSON-RPC request. */
  readonly name: string;
  readonly params: z.ZodType<Params>;
  readonly result: z.ZodType<Result>;
}

/** Defines a peer method; its message types are inferred from the schemas. */
export function definePeerMethod<Params, Result>(
  name: string,
  params: z.ZodType<Params>,
  result: z.ZodType<Result>,
): PeerMethod<Params, Result> {
  return { name, params, result };
}

/**
 * Calls other daemons. Throws `NotSentError` before the first byte,
 * `AnswerLostError` after it and `PeerMessageError` where the answer does not
 * fit its schema.
 */
export interface Peer {
  call<Params, Result>(
    address: Address,
    method: PeerMethod<Params, Result>,
    params: Params,
    deadlineAtMs: number,
  ): Promise<Result>;
}

export type PeerHandler<Params, Result> = (params: Params) => Promise<Result>;

/** Registers the methods that this daemon answers. */
export interface PeerRegistry {
  handle<Params, Result>(
    method: PeerMethod<Params, Result>,
    handler: PeerHandler<Params, Result>,
  ): void;
}
