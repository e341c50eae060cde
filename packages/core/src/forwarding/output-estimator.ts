import type { ForwardRequest } from './forward-request.js';
import type { ResolvedRequest } from './resolve-request.js';

/** What the output tokens of a request are estimated by. */
export interface OutputTraits {
  readonly route: string;
  /** Undefined if the route needs no API key. */
  readonly workspace: string | undefined;
  /** Output tokens that the caller expects; undefined if it names none. */
  readonly hint: number | undefined;
}

export interface OutputEstimate {
  readonly tokens: number;
  /** Mean factor by which earlier estimates of the kind were off, at least 1. */
  readonly errorFactor: number;
}

/** Estimates the output tokens of requests from those of earlier ones. */
export interface OutputEstimator {
  /** Returns undefined if nothing is known. */
  estimate(traits: OutputTraits): OutputEstimate | undefined;
  /** Records the output tokens of a request that was answered completely. */
  record(traits: OutputTraits, tokens: number): void;
}

export function outputTraitsOf(
  { metadata }: ForwardRequest,
  { route, workspace }: ResolvedRequest,
): OutputTraits {
  return {
    route: route.name,
    workspace: workspace?.workspace,
    hint: metadata.outputTokensHint,
  };
}
