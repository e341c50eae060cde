import { createHash } from 'node:crypto';

import type { Address } from '../ports/index.js';

/** Returns the shard of a claim's key, from 0 to `shards` - 1. */
export function shardOfKey(key: string, shards: number): number {
  return hashOf(key) % shards;
}

/**
 * Returns the preferred writer of the shard, by rendezvous (highest random
 * weight) hashing over the live daemons; undefined where none is known. This is
 * only a hint: any daemon may write any shard.
 */
export function ownerOfShard(
  shard: number,
  daemons: readonly Address[],
): Address | undefined {
  let owner: Address | undefined;
  let ownerWeight = -1;
  for (const daemon of daemons) {
    const weight = hashOf(`${shard}/${daemon}`);
    if (weight <= ownerWeight) continue;
    owner = daemon;
    ownerWeight = weight;
  }
  return owner;
}

function hashOf(text: string): number {
  return createHash('sha256').update(text).digest().readUIntBE(0, 6);
}
