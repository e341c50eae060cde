import type { ClaimPeers, Claims } from '@skylarkreach/core/claims';
import {
  ClaimWriter,
  JournalClaims,
  SingleKeyClaims,
} from '@skylarkreach/core/claims';
import type { Clock, KeyValueStore, Random } from '@skylarkreach/core/ports';
import { MAX_VALUE_BYTES, noopLog } from '@skylarkreach/core/ports';

/** Implementations of claims that the experiment compares. */
export enum ClaimsVariant {
  /** Each journal shard is written by the daemon that owns it. */
  Journal = 'journal',
  /** Journal shards without owners: each daemon writes its own claims. */
  JournalWithoutOwners = 'journal, no owners',
  /** One key in the key-value service for each claim. */
  SingleKey = 'single key',
}

export interface ClaimsDependencies {
  readonly daemonId: string;
  readonly keyValue: KeyValueStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly peers: ClaimPeers;
  readonly shards: number;
  readonly writesPerSecond: number;
}

const RETENTION_MS = 600_000;
const MAX_RESPONSE_BYTES = 2_000;

/** Creates the claims of one daemon in the given variant. */
export function buildClaims(
  variant: ClaimsVariant,
  deps: ClaimsDependencies,
): Claims {
  const { clock, daemonId, keyValue, peers, random } = deps;
  if (variant === ClaimsVariant.SingleKey) {
    return new SingleKeyClaims(keyValue, clock, RETENTION_MS);
  }
  const options = {
    shards: deps.shards,
    writesPerSecond: deps.writesPerSecond,
    maxJournalBytes: MAX_VALUE_BYTES,
    maxResponseBytes: MAX_RESPONSE_BYTES,
  };
  const owners = variant === ClaimsVariant.Journal ? peers : undefined;
  const writer = new ClaimWriter(keyValue, clock, random, options, owners);
  return new JournalClaims(writer, clock, noopLog, {
    daemonId,
    retentionMs: RETENTION_MS,
    maxResponseBytes: MAX_RESPONSE_BYTES,
  });
}
