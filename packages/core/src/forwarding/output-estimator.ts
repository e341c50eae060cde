import type { ForwardRequest } from './forward-request.js';
import type { ResolvedRequest } from './resolve-request.js';
import type { RunContext } from './run-context.js';
import type { StreamRelay } from './stream-relay.js';

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

/** Records the output of a stream that one endpoint gave whole. */
export function recordOutput(
  {
    outputEstimator,
  }: { readonly outputEstimator?: OutputEstimator | undefined },
  { request, resolved }: Pick<RunContext, 'request' | 'resolved'>,
  relay: StreamRelay | undefined,
): void {
  const isResumed = request.metadata.lastEventId !== undefined;
  if (relay === undefined || isResumed) return;
  const traits = outputTraitsOf(request, resolved);
  outputEstimator?.record(traits, relay.attemptEvents);
}
