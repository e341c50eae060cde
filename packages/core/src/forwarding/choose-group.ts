import { hash32 } from '../routing/index.js';
import type { ForwardRoute } from './configuration.js';

const HASH_RANGE = 2 ** 32;

/** The group that a request goes to, drawn by the targets' weights from the request's id. */
export function chooseGroup(
  { targets }: ForwardRoute,
  requestId: string,
): string | undefined {
  const total = targets.reduce((sum, each) => sum + each.weight, 0);
  let left = (hash32(requestId) / HASH_RANGE) * total;
  for (const { group, weight } of targets) {
    left -= weight;
    if (left < 0) return group;
  }
  return undefined;
}
