import type { LoadEstimate } from './load-estimator.js';

/** Rates assumed for an endpoint that has sent no load report. */
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 10_000;
const DEFAULT_DECODE_TOKENS_PER_SECOND = 40;

export interface FinishWeights {
  /** Weight of the uncached prefill time relative to the wait; a value above 1 also accounts for the delay it causes to later requests. */
  readonly prefillWeight: number;
  /** Time that each request at the endpoint adds to the decoding of one token, in milliseconds. */
  readonly decodeContentionMs: number;
}

/** Work that a request would cause at an endpoint. */
export interface RequestDemand {
  readonly uncachedTokens: number;
  readonly generatedTokens: number;
}

/** Returns the weighted time until the request would finish at the endpoint, in milliseconds from now. */
export function expectedFinishMs(
  load: LoadEstimate,
  demand: RequestDemand,
  weights: FinishWeights,
): number {
  const prefillRate =
    load.prefillTokensPerSecond ?? DEFAULT_PREFILL_TOKENS_PER_SECOND;
  const decodeRate =
    load.decodeTokensPerSecond ?? DEFAULT_DECODE_TOKENS_PER_SECOND;
  const prefillMs = (demand.uncachedTokens * 1_000) / prefillRate;
  const tokenMs =
    1_000 / decodeRate + load.requests * weights.decodeContentionMs;
  return (
    load.waitMs +
    prefillMs * weights.prefillWeight +
    demand.generatedTokens * tokenMs
  );
}
