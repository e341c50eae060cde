import {
  indirectProbeMethod,
  joinMethod,
  probeMethod,
  pullMethod,
  pushMethod,
  relayHeartbeatMethod,
} from '@skylarkreach/core/membership';
import type { PeerRegistry } from '@skylarkreach/core/ports';

import type {
  MembershipCallParts,
  MembershipCalls,
} from './membership-calls.js';

/** Registers the methods of membership and spreading that other daemons call. */
export function addMembershipMethods(
  registry: PeerRegistry,
  parts: MembershipCallParts,
  calls: MembershipCalls,
): void {
  const { clock, spreader, store, swim } = parts;

  registry.handle(probeMethod, message => {
    const { digest, from, incarnation, updates } = message;
    swim.handleMessage(from, incarnation, updates, clock.nowMs());
    void spreader.fetchMissing(from.peerAddress, digest);
    return Promise.resolve(calls.probeAnswer(from.id, digest));
  });
  registry.handle(indirectProbeMethod, ({ deadlineAtMs, target }) =>
    calls.reach(target.peerAddress, deadlineAtMs),
  );
  registry.handle(joinMethod, ({ from, incarnation }) => {
    const roster = swim.roster();
    swim.handleMessage(from, incarnation, [], clock.nowMs());
    return Promise.resolve({ roster, digest: calls.digest() });
  });
  registry.handle(relayHeartbeatMethod, () => Promise.resolve({}));
  registry.handle(pushMethod, message =>
    Promise.resolve(spreader.receive(message)),
  );
  registry.handle(pullMethod, ({ digest }) =>
    Promise.resolve({ patches: [...store.patchesNewerThan(digest)] }),
  );
}
