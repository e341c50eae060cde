import { z } from 'zod';

import type { DaemonIdentity } from '../ports/index.js';

/** Age at which news of a held lease no longer counts. */
const FRESHNESS_MS = 3_000; // six exchanges
/** Age at which news is no longer passed on. */
const RETENTION_MS = 30_000;

/** What daemons tell one another of the lease for the duties towards the platform. */
export const dutyLeaseHintSchema = z.object({
  /** Rises with each holder. */
  fencingNumber: z.number().nonnegative(),
  holderId: z.string().min(1),
  /** False once the holder has given the lease up or lost it. */
  isHeld: z.boolean(),
  /** Address at which peers reach the holder. Absent where the holder does not state it. */
  holderPeerAddress: z.string().min(1).optional().catch(undefined),
  /** Whether the holder accepts usage counts of several daemons in one message. Absent where it does not know them. */
  takesCollectedUsage: z.boolean().optional().catch(undefined),
  /** Time since the holder said so. */
  ageMs: z.number().nonnegative(),
});

export type DutyLeaseHint = Readonly<z.output<typeof dutyLeaseHintSchema>>;

/** Peer that holds the lease, as far as its callers need it. */
export type DutyHolderPeer = Pick<DaemonIdentity, 'id' | 'peerAddress'>;

type KnownLease = Omit<DutyLeaseHint, 'ageMs'> & { readonly atMs: number };

/** Newest known state of the lease for the duties, from the holder or passed on by others. */
export class DutyLeaseNews {
  private known: KnownLease | undefined;

  /** Applies news that arrived at `nowMs`. News of an earlier lease, or that an ended lease is held, is ignored. */
  record({ ageMs, ...lease }: DutyLeaseHint, nowMs: number): void {
    const atMs = nowMs - ageMs;
    const { known } = this;
    let { holderPeerAddress, takesCollectedUsage } = lease;
    if (known !== undefined) {
      if (lease.fencingNumber < known.fencingNumber) return;
      const isSame = lease.fencingNumber === known.fencingNumber;
      if (isSame && !known.isHeld) return;
      if (isSame && lease.isHeld && atMs <= known.atMs) return;
      // A daemon that does not know the fields passes the news on without them.
      if (isSame) {
        holderPeerAddress ??= known.holderPeerAddress;
        takesCollectedUsage ??= known.takesCollectedUsage;
      }
    }
    this.known = { ...lease, holderPeerAddress, takesCollectedUsage, atMs };
  }

  /** Returns the id of the daemon that recently held the lease; undefined if none did. */
  holderId(nowMs: number): string | undefined {
    return this.heldLease(nowMs)?.holderId;
  }

  /** Returns the lease if a daemon recently held it. */
  heldLease(nowMs: number): Omit<DutyLeaseHint, 'ageMs'> | undefined {
    const { known } = this;
    const isFresh = known?.isHeld === true && nowMs - known.atMs < FRESHNESS_MS;
    return isFresh ? known : undefined;
  }

  /**
   * Returns the peer that recently held the lease; undefined if that is this daemon,
   * or one of which no address is known. With more than 64 daemons, most of those in
   * other data centres are not among `livePeers`.
   */
  holderPeer(
    ownId: string,
    livePeers: readonly DaemonIdentity[],
    nowMs: number,
  ): DutyHolderPeer | undefined {
    const lease = this.heldLease(nowMs);
    if (lease === undefined || lease.holderId === ownId) return undefined;
    const { holderId: id, holderPeerAddress: peerAddress } = lease;
    const livePeer = livePeers.find(each => each.id === id);
    if (livePeer !== undefined) return livePeer;
    return peerAddress === undefined ? undefined : { id, peerAddress };
  }

  /** Returns what to pass on to peers. */
  hint(nowMs: number): DutyLeaseHint | undefined {
    if (this.known === undefined) return undefined;
    const { atMs, ...lease } = this.known;
    const ageMs = Math.max(0, nowMs - atMs);
    return ageMs < RETENTION_MS ? { ...lease, ageMs } : undefined;
  }
}
