import { z } from 'zod';

import { windowUsageSchema } from '../hints/index.js';
import type {
  Clock,
  DaemonIdentity,
  PeerClient,
  PeerRegistry,
} from '../ports/index.js';
import { definePeerMethod, PlatformError } from '../ports/index.js';
import type { UsageLedger } from './usage-ledger.js';

/** Time between two messages of one daemon. */
const TELL_INTERVAL_MS = 500;
/** The same for each peer, so that the load of the holder does not grow with their number. */
const TELL_INTERVAL_PER_PEER_MS = 12.5; // at most 80 messages a second, some percent of a small core
const CALL_TIMEOUT_MS = 400;

/** Peer method by which daemons tell the holder of the duties their counts. */
export const tellUsageMethod = definePeerMethod(
  'usage.tell',
  z.object({
    lifetime: z.string().min(1),
    usage: z.array(windowUsageSchema),
  }),
  z.object({}),
);

export interface UsageTellerDependencies {
  readonly clock: Clock;
  readonly peer: PeerClient;
  readonly registry: PeerRegistry;
  readonly ledger: UsageLedger;
  readonly isEnabled: () => boolean;
  /** Returns the peer that holds the duties; undefined if none is known. */
  readonly holder: () => DaemonIdentity | undefined;
  /** Returns the number of live peers. */
  readonly peerCount: () => number;
}

/** Tells the holder of the duties the usage counts of this daemon soon after they change, as the random exchange of hints reaches it too late among many. */
export class UsageTeller {
  private toldChange = 0;
  private toldHolderId = '';
  private nextTellAtMs = -Infinity;

  constructor(private readonly deps: UsageTellerDependencies) {
    deps.registry.handle(tellUsageMethod, message => {
      deps.ledger.applyPeer(message);
      return Promise.resolve({});
    });
  }

  /** Tells the counts if they have changed and a message is due. */
  async step(): Promise<void> {
    const { clock, isEnabled, ledger, peer, peerCount } = this.deps;
    const holder = isEnabled() ? this.deps.holder() : undefined;
    const nowMs = clock.nowMs();
    if (holder === undefined || nowMs < this.nextTellAtMs) return;
    const { lifetime, ownChangeCount } = ledger;
    const isTold =
      holder.id === this.toldHolderId && ownChangeCount === this.toldChange;
    if (isTold) return;
    const intervalMs = peerCount() * TELL_INTERVAL_PER_PEER_MS;
    this.nextTellAtMs = nowMs + Math.max(TELL_INTERVAL_MS, intervalMs);
    try {
      await peer.call(
        holder.peerAddress,
        tellUsageMethod,
        { lifetime, usage: ledger.ownUsage() },
        nowMs + CALL_TIMEOUT_MS,
      );
      this.toldChange = ownChangeCount;
      this.toldHolderId = holder.id;
    } catch (error) {
      // The hints carry the same counts.
      if (!(error instanceof PlatformError)) throw error;
    }
  }
}
