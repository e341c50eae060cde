import { hash32 } from '../routing/index.js';
import type { ForwardRoute } from './configuration.js';

const HASH_RANGE = 2 ** 32;

/** Returns the group for a request, chosen in proportion to the targets' weights by a hash of the request's id; undefined if no target has a weight. */
export function chooseGroup(
  { targets }: ForwardRoute,
  requestId: string,
): string | undefined {
  const totalWeight = targets.reduce((sum, each) => sum + each.weight, 0);
  let remainingWeight = (hash32(requestId) / HASH_RANGE) * totalWeight;
  for (const { group, weight } of targets) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return group;
  }
  return undefined;
}
