import xxhash from 'xxhash-wasm';

import type { Address, Endpoint } from '../ports/index.js';

const HASH_RANGE = 2 ** 32;

const hasher = await xxhash();

/**
 * Returns whether a request goes to the new version. The decision is a hash of
 * the move and the request, so that a repeat gets the same version at the same
 * share, and a growing share only adds requests.
 */
export function usesNewVersion(
  moveId: string,
  requestId: string,
  share: number,
): boolean {
  return hasher.h32(`${moveId}/${requestId}`) / HASH_RANGE < share;
}

/**
 * Returns the endpoints of the new version that get no requests at a share, so
 * that those in use are as loaded as the old ones. Endpoints are selected by
 * rendezvous hashing, so that all daemons agree and a growing share only adds
 * endpoints.
 */
export function excludedNewEndpoints(
  moveId: string,
  newEndpoints: readonly Endpoint[],
  oldCount: number,
  share: number,
): ReadonlySet<Address> {
  const usedCount =
    share >= 1 ? Infinity : Math.ceil((oldCount * share) / (1 - share));
  const ranked = newEndpoints
    .map(endpoint => endpoint.address)
    .sort(
      (left, right) =>
        hasher.h32(`${moveId}/${left}`) - hasher.h32(`${moveId}/${right}`),
    );
  return new Set(ranked.slice(Math.max(1, usedCount)));
}
