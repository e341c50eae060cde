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
  Peer,
} from '@skylarkreach/core/ports';
import { PlatformError } from '@skylarkreach/core/ports';

import type { Spreader } from './spreader.js';

const PROBE_TIMEOUT_MS = 400;
const LEAVE_TIMEOUT_MS = 500;
const JOIN_TIMEOUT_MS = 1_000;

export interface MembershipCallParts {
  readonly clock: Clock;
  readonly peer: Peer;
  readonly swim: SwimMembership;
  readonly relayRole: RelayRole;
  readonly store: ReplicatedValueStore;
  readonly spreader: Spreader;
}

/** Sends what the membership decides and reports the answers back to it. */
export class MembershipCalls {
  constructor(private readonly parts: MembershipCallParts) {}

  /** Carries out one decision without waiting for its end. */
  run(action: MembershipAction): void {
    switch (action.kind) {
      case MembershipActionKind.Probe:
        void this.probe(action);
        return;
      case MembershipActionKind.IndirectProbe:
        void this.probeThrough(action);
        return;
      case MembershipActionKind.Join:
        void this.join(action.target.peerAddress);
        return;
    }
  }

  private async probe(action: ProbeAction): Promise<void> {
    const { clock, peer } = this.parts;
    const { deadlineAtMs, target } = action;
    const sentAtMs = clock.nowMs();
    try {
      const answer = await peer.call(
        target.peerAddress,
        probeMethod,
        this.probeMessage(action.updates),
        deadlineAtMs,
      );
      const { confirmedAgeMs, digest, incarnation, updates } = answer;
      this.parts.swim.handleProbeAnswer(
        target,
        incarnation,
        updates,
        clock.nowMs(),
      );
      const isComplete = await this.parts.spreader.fetchMissing(
        target.peerAddress,
        digest ?? [],
      );
      if (isComplete && confirmedAgeMs !== undefined) {
        this.parts.store.confirm(sentAtMs - confirmedAgeMs);
      }
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      const next = this.parts.swim.handleProbeFailure(target, clock.nowMs());
      if (next !== undefined) this.run(next);
    }
  }

  private async probeThrough(action: IndirectProbeAction): Promise<void> {
    const { clock, peer } = this.parts;
    const { deadlineAtMs, helpers, target } = action;
    const params = { target, deadlineAtMs };
    const asked = helpers.map(async helper => {
      const { peerAddress } = helper;
      const answer = await peer.call(
        peerAddress,
        indirectProbeMethod,
        params,
        deadlineAtMs,
      );
      if (!answer.reached) throw new Error('The helper did not reach it.');
    });
    try {
      await Promise.any(asked);
    } catch {
      this.parts.swim.suspect(target, clock.nowMs());
    }
  }

  /** Asks the daemon at an address for the members and values that it holds. */
  async join(peerAddress: Address): Promise<void> {
    const { clock, peer } = this.parts;
    const { incarnation, self } = this.parts.swim;
    try {
      const answer = await peer.call(
        peerAddress,
        joinMethod,
        { from: self, incarnation },
        clock.nowMs() + JOIN_TIMEOUT_MS,
      );
      this.parts.swim.applyRoster(answer.roster, clock.nowMs());
      await this.parts.spreader.fetchMissing(peerAddress, answer.digest);
    } catch (error) {
      // Another target is asked until one has answered.
      if (!(error instanceof PlatformError)) throw error;
    }
  }

  /** Tells the relay role whether a relay answers. */
  async sendHeartbeat(
    target: DaemonIdentity,
    deadlineAtMs: number,
  ): Promise<void> {
    const { clock, peer } = this.parts;
    try {
      const { peerAddress } = target;
      await peer.call(peerAddress, relayHeartbeatMethod, {}, deadlineAtMs);
      this.parts.relayRole.recordHeartbeatSuccess(target.id);
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      this.parts.relayRole.recordHeartbeatFailure(target.id, clock.nowMs());
    }
  }

  /** Tells peers that this daemon stops. */
  async leave(): Promise<void> {
    const { peers, update } = this.parts.swim.leave();
    const { clock, peer } = this.parts;
    const message = { ...this.probeMessage([]), updates: [update] };
    const deadlineAtMs = clock.nowMs() + LEAVE_TIMEOUT_MS;
    await Promise.allSettled(
      peers.map(each =>
        peer.call(each.peerAddress, probeMethod, message, deadlineAtMs),
      ),
    );
  }

  /** Probes a daemon for another one. */
  async reach(
    address: Address,
    deadlineAtMs: number,
  ): Promise<{ reached: boolean }> {
    const { clock, peer } = this.parts;
    const limitMs = Math.min(deadlineAtMs, clock.nowMs() + PROBE_TIMEOUT_MS);
    try {
      const message = this.probeMessage([]);
      await peer.call(address, probeMethod, message, limitMs);
      return { reached: true };
    } catch (error) {
      if (error instanceof PlatformError) return { reached: false };
      throw error;
    }
  }

  private probeMessage(updates: ProbeAction['updates']) {
    const { incarnation, self } = this.parts.swim;
    return { from: self, incarnation, updates, digest: this.digest() };
  }

  /** What a probe is answered with. */
  probeAnswer(receiverId: string, received: readonly KeyVersion[]) {
    const confirmedAtMs = this.parts.store.confirmedAtMs();
    const digest = this.digest();
    const isSame = JSON.stringify(digest) === JSON.stringify(received);
    return {
      incarnation: this.parts.swim.incarnation,
      updates: this.parts.swim.updatesFor(receiverId),
      digest: isSame ? undefined : digest,
      confirmedAgeMs:
        confirmedAtMs === undefined
          ? undefined
          : Math.max(0, Math.round(this.parts.clock.nowMs() - confirmedAtMs)),
    };
  }

  /** Versions held, for a peer to compare with its own. */
  digest() {
    return [...this.parts.store.nextDigest()];
  }
}
