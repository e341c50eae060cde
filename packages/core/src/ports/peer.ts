import type { z } from 'zod';

import type { Address } from './topology.js';

/** JSON-RPC method between daemons, with the schemas of its parameters and its result. */
export interface PeerMethod<Params, Result> {
  /** Method name of the JSON-RPC request, as `feature.verb`. */
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
 * Client for calls to other daemons. Throws `NotSentError` for a failure before
 * the first byte, `AnswerLostError` after it and `PeerMessageError` where the
 * result does not match its schema.
 */
export interface PeerClient {
  call<Params, Result>(
    address: Address,
    method: PeerMethod<Params, Result>,
    params: Params,
    deadlineAtMs: number,
  ): Promise<Result>;
}

export type PeerHandler<Params, Result> = (params: Params) => Promise<Result>;

/** Registry of the methods that this daemon serves. */
export interface PeerRegistry {
  handle<Params, Result>(
    method: PeerMethod<Params, Result>,
    handler: PeerHandler<Params, Result>,
  ): void;
}
