import type { ClaimPeers } from '@skylarkreach/core/claims';
import { ClaimWriter, JournalClaims } from '@skylarkreach/core/claims';
import type { ServiceTraitsByGroup } from '@skylarkreach/core/pipeline';
import type {
  Clock,
  KeyValueStore,
  Log,
  Random,
} from '@skylarkreach/core/ports';
import { MAX_VALUE_BYTES } from '@skylarkreach/core/ports';

import type { Settings } from '../settings/index.js';

/** Part of the size limit of a journal value that claims may not use. */
const RESERVED_JOURNAL_BYTES = 10_000;

/** Dependencies of `createClaims`. */
export interface ClaimDependencies {
  readonly keyValue: KeyValueStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** The other daemons. If absent, each daemon writes its own claims. */
  readonly peers?: ClaimPeers;
}

/** Creates the claims of a daemon from its settings. */
export function createClaims(
  settings: Settings,
  deps: ClaimDependencies,
): JournalClaims {
  const { claims, identity } = settings;
  const { clock, keyValue, log, peers, random } = deps;
  const options = {
    shards: claims.shards,
    writesPerSecond: claims.writesPerSecond,
    maxResponseBytes: claims.maxResponseBytes,
    maxJournalBytes: MAX_VALUE_BYTES - RESERVED_JOURNAL_BYTES,
  };
  const writer = new ClaimWriter(keyValue, clock, random, options, peers);
  return new JournalClaims(writer, clock, log, {
    daemonId: identity.daemonId,
    retentionMs: claims.retentionMs,
    maxResponseBytes: claims.maxResponseBytes,
  });
}

/** Returns the traits of plain services in the settings, by group. */
export function serviceTraitsOf(settings: Settings): ServiceTraitsByGroup {
  return new Map(settings.services.map(service => [service.group, service]));
}
