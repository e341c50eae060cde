import type { ClaimPeers } from '@skylarkreach/core/claims';
import { ClaimWriter, JournalClaims } from '@skylarkreach/core/claims';
import type { ServiceTraitsByGroup } from '@skylarkreach/core/pipeline';
import type { Clock, KeyValue, Log, Random } from '@skylarkreach/core/ports';
import { MAX_VALUE_BYTES } from '@skylarkreach/core/ports';

import type { Settings } from '../settings/index.js';

/** Bytes of a journal value that no claim may take. */
const JOURNAL_MARGIN_BYTES = 10_000;

/** What the daemon's claims are built from. */
export interface ClaimParts {
  readonly keyValue: KeyValue;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** The other daemons; each daemon writes its own claims where absent. */
  readonly peers?: ClaimPeers;
}

/** Builds the claims of a daemon from its settings. */
export function createClaims(
  settings: Settings,
  parts: ClaimParts,
): JournalClaims {
  const { claims, identity } = settings;
  const { clock, keyValue, log, peers, random } = parts;
  const options = {
    shards: claims.shards,
    writesPerSecond: claims.writesPerSecond,
    maxResponseBytes: claims.maxResponseBytes,
    maxJournalBytes: MAX_VALUE_BYTES - JOURNAL_MARGIN_BYTES,
  };
  const writer = new ClaimWriter(keyValue, clock, random, options, peers);
  return new JournalClaims(writer, clock, log, {
    daemonId: identity.daemonId,
    retentionMs: claims.retentionMs,
    maxResponseBytes: claims.maxResponseBytes,
  });
}

/** What the settings state of plain services, by group. */
export function serviceTraitsOf(settings: Settings): ServiceTraitsByGroup {
  return new Map(settings.services.map(each => [each.group, each]));
}
