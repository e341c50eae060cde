import type { ClaimPeers, Claims } from '@skylarkreach/core/claims';
import {
  ClaimWriter,
  JournalClaims,
  SingleKeyClaims,
} from '@skylarkreach/core/claims';
import type { Clock, KeyValue, Random } from '@skylarkreach/core/ports';
import { MAX_VALUE_BYTES, silentLog } from '@skylarkreach/core/ports';

/** The ways of claiming that are compared. */
export enum ClaimsKind {
  /** Journals, each written by its owner. */
  Journal = 'journal',
  /** Journals, each daemon writing its own claims. */
  JournalUnowned = 'journal, no owners',
  SingleKey = 'single key',
}

export interface ClaimsParts {
  readonly daemonId: string;
  readonly keyValue: KeyValue;
  readonly clock: Clock;
  readonly random: Random;
  readonly peers: ClaimPeers;
  readonly shards: number;
  readonly writesPerSecond: number;
}

const RETENTION_MS = 600_000;
const MAX_RESPONSE_BYTES = 2_000;

/** Builds the claims of one daemon. */
export function buildClaims(kind: ClaimsKind, parts: ClaimsParts): Claims {
  const { clock, daemonId, keyValue, peers, random } = parts;
  if (kind === ClaimsKind.SingleKey) {
    return new SingleKeyClaims(keyValue, clock, RETENTION_MS);
  }
  const options = {
    shards: parts.shards,
    writesPerSecond: parts.writesPerSecond,
    maxJournalBytes: MAX_VALUE_BYTES,
    maxResponseBytes: MAX_RESPONSE_BYTES,
  };
  const owners = kind === ClaimsKind.Journal ? peers : undefined;
  const writer = new ClaimWriter(keyValue, clock, random, options, owners);
  return new JournalClaims(writer, clock, silentLog, {
    daemonId,
    retentionMs: RETENTION_MS,
    maxResponseBytes: MAX_RESPONSE_BYTES,
  });
}
