import type { ForwarderDependencies } from './forwarder.js';
import type { PoolQuery } from './pool-query.js';
import type { RunContext } from './run-context.js';

/** What restricts the endpoints of a group that a request may use. */
export type EndpointScope = Pick<
  PoolQuery,
  'allowedDataCentres' | 'notVersion'
>;

/** Returns the restrictions of a request now; a version on trial may be replaced by any other. */
export function endpointScopeOf(
  { versions }: Pick<ForwarderDependencies, 'versions'>,
  { group, homes }: Pick<RunContext, 'group' | 'homes'>,
): EndpointScope {
  const { not } = versions.chooseForRetry(group);
  return {
    ...(homes && { allowedDataCentres: homes.endpointDataCentres }),
    ...(not !== undefined && { notVersion: not }),
  };
}
