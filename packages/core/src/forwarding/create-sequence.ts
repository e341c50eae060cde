import type { AttemptSequenceOptions } from './attempt-sequence.js';
import { AttemptSequence } from './attempt-sequence.js';
import { RouteType } from './configuration.js';
import { EndpointChoice } from './endpoint-choice.js';
import type { ForwarderDependencies } from './forwarder.js';
import { outputTraitsOf } from './output-estimator.js';
import type { RunContext } from './run-context.js';

export type SequenceTraits = Pick<
  AttemptSequenceOptions,
  | 'attempts'
  | 'signal'
  | 'deadlineAtMs'
  | 'isRepeatable'
  | 'mayWait'
  | 'isLastEndpointGone'
>;

/** Creates the sequence of attempts of one request. */
export function createSequence(
  deps: ForwarderDependencies,
  context: RunContext,
  traits: SequenceTraits,
): AttemptSequence {
  const { clock, crashGuard, dispatchWindow } = deps;
  const { dataCentres, pool, requestRelay, versions } = deps;
  const { budget, group, homes, relayed, request } = context;
  const { resolved, suspectIds, tokenCharge } = context;
  const { attempts, isRepeatable } = traits;
  return new AttemptSequence({
    ...traits,
    clock,
    crashGuard,
    dispatchWindow,
    budget,
    endpoints: new EndpointChoice({
      attempts,
      dataCentres,
      group,
      homes,
      request,
      isRepeatable,
      pool,
      versions,
      requestRelay,
      prefersRoom: deps.dispatchGate !== undefined,
      relayed,
      expectedOutputTokens: deps.outputEstimator?.estimate(
        outputTraitsOf(request, resolved),
      )?.tokens,
    }),
    suspectIds,
    tokenCharge,
    isStream: resolved.route.type === RouteType.Streaming,
    // The daemon that took the request from its caller decides on a retry.
    ...(relayed === undefined
      ? { maxAttempts: resolved.route.maxAttempts }
      : { maxAttempts: 1, isLastEndpointGone: () => Promise.resolve(false) }),
  });
}
