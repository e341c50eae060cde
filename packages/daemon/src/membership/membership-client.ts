import type {
  IndirectProbeAction,
  KeyVersion,
  MembershipAction,
  ProbeAction,
  RelayRole,
  ReplicatedValueStore,
  SwimMembership,
} from '@skylarkreach/core/membership';
import {
  indirectProbeMethod,
  joinMethod,
  MembershipActionKind,
  probeMethod,
  relayHeartbeatMethod,
} from '@skylarkreach/core/membership';
import type {
  Address,
  Clock,
  DaemonIdentity,
  PeerClient,
} from '@skylarkreach/core/ports';
import { PlatformError } from '@skylarkreach/core/ports';

import type { ValueBroadcaster } from './value-broadcaster.js';

const PROBE_TIMEOUT_MS = 400;
const LEAVE_TIMEOUT_MS = 500;
const JOIN_TIMEOUT_MS = 1_000;

export interface MembershipClientDependencies {
  readonly clock: Clock;
  readonly peer: PeerClient;
  readonly swim: SwimMembership;
  readonly relayRole: RelayRole;
  readonly store: ReplicatedValueStore;
  readonly broadcaster: ValueBroadcaster;
}

/** Sends the membership protocol's messages to peers and reports the outcomes to the protocol state. */
export class MembershipClient {
  constructor(private readonly deps: MembershipClientDependencies) {}

  /** Executes one action of the protocol without waiting for its result. */
  execute(action: MembershipAction): void {
    switch (action.kind) {
      case MembershipActionKind.Probe:
        void this.probe(action);
        return;
      case MembershipActionKind.IndirectProbe:
        void this.probeIndirectly(action);
        return;
      case MembershipActionKind.Join:
        void this.join(action.target.peerAddress);
        return;
    }
  }

  private async probe(action: ProbeAction): Promise<void> {
    const { clock, peer } = this.deps;
    const { deadlineAtMs, target } = action;
    const sentAtMs = clock.nowMs();
    try {
      const response = await peer.call(
        target.peerAddress,
        probeMethod,
        this.createProbeRequest(action.updates),
        deadlineAtMs,
      );
      const { confirmedAgeMs, digest, incarnation, updates } = response;
      this.deps.swim.handleProbeAnswer(
        target,
        incarnation,
        updates,
        clock.nowMs(),
      );
      const isComplete = await this.deps.broadcaster.fetchMissing(
        target.peerAddress,
        digest ?? [],
      );
      if (isComplete && confirmedAgeMs !== undefined) {
        this.deps.store.confirm(sentAtMs - confirmedAgeMs);
      }
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      const indirectProbe = this.deps.swim.handleProbeFailure(
        target,
        clock.nowMs(),
      );
      if (indirectProbe !== undefined) this.execute(indirectProbe);
    }
  }

  private async probeIndirectly(action: IndirectProbeAction): Promise<void> {
    const { clock, peer } = this.deps;
    const { deadlineAtMs, helpers, target } = action;
    const params = { target, deadlineAtMs: Math.ceil(deadlineAtMs) };
    const indirectProbes = helpers.map(async helper => {
      const { peerAddress } = helper;
      const response = await peer.call(
        peerAddress,
        indirectProbeMethod,
        params,
        deadlineAtMs,
      );
      if (!response.reached)
        throw new Error('The helper could not reach the target.');
    });
    try {
      await Promise.any(indirectProbes);
    } catch {
      this.deps.swim.suspect(target, clock.nowMs());
    }
  }

  /** Joins through the daemon at an address: fetches the members and the values that it knows. */
  async join(peerAddress: Address): Promise<void> {
    const { clock, peer } = this.deps;
    const { incarnation, self } = this.deps.swim;
    try {
      const response = await peer.call(
        peerAddress,
        joinMethod,
        { from: self, incarnation },
        clock.nowMs() + JOIN_TIMEOUT_MS,
      );
      this.deps.swim.applyRoster(response.roster, clock.nowMs());
      await this.deps.broadcaster.fetchMissing(peerAddress, response.digest);
    } catch (error) {
      // The protocol sends joins to further targets until one has answered.
      if (!(error instanceof PlatformError)) throw error;
    }
  }

  /** Sends a heartbeat to a relay and reports to the relay role whether it answered. */
  async sendHeartbeat(
    target: DaemonIdentity,
    deadlineAtMs: number,
  ): Promise<void> {
    const { clock, peer } = this.deps;
    try {
      const { peerAddress } = target;
      await peer.call(peerAddress, relayHeartbeatMethod, {}, deadlineAtMs);
      this.deps.relayRole.recordHeartbeatSuccess(target.id);
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      this.deps.relayRole.recordHeartbeatFailure(target.id, clock.nowMs());
    }
  }

  /** Notifies peers that this daemon is stopping. */
  async announceLeave(): Promise<void> {
    const { peers, update } = this.deps.swim.leave();
    const { clock, peer } = this.deps;
    const message = { ...this.createProbeRequest([]), updates: [update] };
    const deadlineAtMs = clock.nowMs() + LEAVE_TIMEOUT_MS;
    await Promise.allSettled(
      peers.map(target =>
        peer.call(target.peerAddress, probeMethod, message, deadlineAtMs),
      ),
    );
  }

  /** Probes a daemon on behalf of a peer (an indirect probe) and returns whether it answered. */
  async probeForPeer(address: Address): Promise<{ reached: boolean }> {
    const { clock, peer } = this.deps;
    const deadlineAtMs = clock.nowMs() + PROBE_TIMEOUT_MS;
    try {
      const message = this.createProbeRequest([]);
      await peer.call(address, probeMethod, message, deadlineAtMs);
      return { reached: true };
    } catch (error) {
      if (error instanceof PlatformError) return { reached: false };
      throw error;
    }
  }

  private createProbeRequest(updates: ProbeAction['updates']) {
    const { incarnation, self } = this.deps.swim;
    return { from: self, incarnation, updates, digest: this.nextDigest() };
  }

  /**
   * Returns the response to a probe. The digest is left out where it equals the
   * one received.
   */
  createProbeResponse(receiverId: string, received: readonly KeyVersion[]) {
    const confirmedAtMs = this.deps.store.confirmedAtMs();
    const digest = this.nextDigest();
    const isDigestEqual = JSON.stringify(digest) === JSON.stringify(received);
    return {
      incarnation: this.deps.swim.incarnation,
      updates: this.deps.swim.updatesFor(receiverId),
      digest: isDigestEqual ? undefined : digest,
      confirmedAgeMs:
        confirmedAtMs === undefined
          ? undefined
          : Math.max(0, Math.round(this.deps.clock.nowMs() - confirmedAtMs)),
    };
  }

  /** Returns versions held here, for a peer to compare with its own. */
  nextDigest() {
    return [...this.deps.store.nextDigest()];
  }
}
