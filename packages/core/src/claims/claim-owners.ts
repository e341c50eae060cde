import { createHash } from 'node:crypto';

import type { Address } from '../ports/index.js';

/** Shard of a claim's key, from 0 to `shards` - 1. */
export function shardOf(key: string, shards: number): number {
  return hashOf(key) % shards;
}

/**
 * The daemon that should write the shard, by rendezvous (highest random weight)
 * hashing over the live daemons; undefined where none is known. Only a hint.
 */
export function ownerOf(
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
