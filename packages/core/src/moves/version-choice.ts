import xxhash from 'xxhash-wasm';

import type { Address, Endpoint } from '../ports/index.js';

const HASH_RANGE = 2 ** 32;

const hasher = await xxhash();

/**
 * Whether a request goes to the new version. The same request always falls on
 * the same side of a share, and a share that grows only adds requests.
 */
export function takesNewVersion(
  moveId: string,
  requestId: string,
  share: number,
): boolean {
  return hasher.h32(`${moveId}/${requestId}`) / HASH_RANGE < share;
}

/**
 * New endpoints that stay out of use at a share, so that those in use are as
 * loaded as the old ones. Chosen by rendezvous hashing, so that all daemons
 * agree and a growing share only adds endpoints.
 */
export function unusedEndpoints(
  moveId: string,
  newEndpoints: readonly Endpoint[],
  oldCount: number,
  share: number,
): ReadonlySet<Address> {
  const loadedCount =
    share >= 1 ? Infinity : Math.ceil((oldCount * share) / (1 - share));
  const ranked = newEndpoints
    .map(endpoint => endpoint.address)
    .sort(
      (left, right) =>
        hasher.h32(`${moveId}/${left}`) - hasher.h32(`${moveId}/${right}`),
    );
  return new Set(ranked.slice(Math.max(1, loadedCount)));
}
