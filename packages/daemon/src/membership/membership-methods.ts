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
  MembershipClient,
  MembershipClientDependencies,
} from './membership-client.js';

/** Registers the peer methods of the membership protocol and of value broadcasting. */
export function registerMembershipMethods(
  registry: PeerRegistry,
  deps: MembershipClientDependencies,
  client: MembershipClient,
): void {
  const { clock, broadcaster, store, swim } = deps;

  registry.handle(probeMethod, message => {
    const { digest, from, incarnation, updates } = message;
    swim.handleMessage(from, incarnation, updates, clock.nowMs());
    void broadcaster.fetchMissing(from.peerAddress, digest);
    return Promise.resolve(client.createProbeResponse(from.id, digest));
  });
  registry.handle(indirectProbeMethod, ({ target }) =>
    client.probeForPeer(target.peerAddress),
  );
  registry.handle(joinMethod, ({ from, incarnation }) => {
    const roster = swim.roster();
    swim.handleMessage(from, incarnation, [], clock.nowMs());
    return Promise.resolve({ roster, digest: client.nextDigest() });
  });
  registry.handle(relayHeartbeatMethod, () => Promise.resolve({}));
  registry.handle(pushMethod, message =>
    Promise.resolve(broadcaster.handlePush(message)),
  );
  registry.handle(pullMethod, ({ digest }) =>
    Promise.resolve({ patches: [...store.patchesNewerThan(digest)] }),
  );
}
