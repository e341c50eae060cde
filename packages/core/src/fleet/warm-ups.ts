import type { Address, ChatMessage, GenerateRequest } from '../ports/index.js';
import { Priority } from '../ports/index.js';

/** Use of a prompt prefix and the number of its cached copies. */
export interface PrefixUsage {
  readonly prefixId: string;
  readonly tokens: number;
  /** Requests per hour that begin with the prefix. */
  readonly usesPerHour: number;
  /** Number of live endpoints that have the prefix in their cache. */
  readonly copies: number;
}

/** Endpoint that can compute prefixes, with its free cache and its prefill rate. */
export interface WarmUpTarget {
  readonly address: Address;
  readonly freeCacheTokens: number;
  readonly prefillTokensPerSecond: number;
}

/** Assignment of a prefix to an endpoint that computes it before a request needs it. */
export interface WarmUp {
  readonly prefixId: string;
  readonly address: Address;
  readonly tokens: number;
  /** Expected number of tokens that requests recompute without the warm-up. */
  readonly expectedRecomputedTokens: number;
}

/** Time within which a lost prefix has to be used again to be worth a warm-up. */
const REUSE_HORIZON_HOURS = 0.25;

/**
 * Assigns prefixes without a cached copy to endpoints, in descending order of
 * expected recomputed tokens. A prefix goes to the endpoint that would finish it
 * first among those with enough free cache. The expected number is the length of
 * the prefix times the probability of a use within `REUSE_HORIZON_HOURS`, with
 * uses modelled as a Poisson process. Prefixes that still have a copy are skipped.
 */
export function assignWarmUps(
  prefixes: readonly PrefixUsage[],
  targets: readonly WarmUpTarget[],
): readonly WarmUp[] {
  const loads = targets.map(target => ({ target, assignedTokens: 0 }));
  const lostPrefixes = prefixes
    .filter(prefix => prefix.copies === 0)
    .filter(prefix => prefix.usesPerHour > 0)
    .sort(
      (left, right) =>
        expectedRecomputedTokens(right) - expectedRecomputedTokens(left),
    );
  return lostPrefixes.flatMap(prefix => {
    const best = loads
      .filter(load => hasCacheSpace(load, prefix))
      .sort((left, right) => prefillMs(left, prefix) - prefillMs(right, prefix))
      .at(0);
    if (best === undefined) return [];
    best.assignedTokens += prefix.tokens;
    return {
      prefixId: prefix.prefixId,
      address: best.target.address,
      tokens: prefix.tokens,
      expectedRecomputedTokens: expectedRecomputedTokens(prefix),
    };
  });
}

/** Returns the request that makes the engine compute the prefix, at the lowest priority. */
export function warmUpRequest(
  warmUp: WarmUp,
  model: string,
  messages: readonly ChatMessage[],
  deadlineAtMs: number,
): GenerateRequest {
  return {
    streamId: `warm-up-${warmUp.prefixId}`,
    model,
    messages,
    maxTokens: 1,
    sentText: '',
    sentTokens: 0,
    priority: Priority.Draft,
    deadlineAtMs,
  };
}

interface TargetLoad {
  readonly target: WarmUpTarget;
  assignedTokens: number;
}

function hasCacheSpace(load: TargetLoad, prefix: PrefixUsage): boolean {
  return load.assignedTokens + prefix.tokens <= load.target.freeCacheTokens;
}

function prefillMs(load: TargetLoad, prefix: PrefixUsage): number {
  const tokens = load.assignedTokens + prefix.tokens;
  return (tokens * 1_000) / load.target.prefillTokensPerSecond;
}

function expectedRecomputedTokens(prefix: PrefixUsage): number {
  const useProbability =
    1 - Math.exp(-prefix.usesPerHour * REUSE_HORIZON_HOURS);
  return prefix.tokens * useProbability;
}
