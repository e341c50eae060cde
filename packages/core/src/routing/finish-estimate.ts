import type { LoadEstimate } from './load-view.js';

/** Rates taken for an endpoint that has reported none. */
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 10_000;
const DEFAULT_DECODE_TOKENS_PER_SECOND = 40;

export interface FinishWeights {
  /** Weight of uncached prefill against waiting; above 1 it also counts the work's cost to later requests. */
  readonly prefillWeight: number;
  /** Time that each running request adds to one decoded token, in milliseconds. */
  readonly decodeContentionMs: number;
}

/** What one request would need at one endpoint. */
export interface FinishDemand {
  readonly uncachedTokens: number;
  readonly generatedTokens: number;
}

/** Time until the request would finish at the endpoint, in milliseconds from now, with the weights applied. */
export function expectedFinishMs(
  load: LoadEstimate,
  demand: FinishDemand,
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
