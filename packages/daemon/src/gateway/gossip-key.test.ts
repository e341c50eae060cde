import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { ReplicatedValueStore } from '@skylarkreach/core/membership';

import { GOSSIP_KEYS_OF_EVERY_DIGEST, GossipKey } from './gossip-key.js';

describe('the digest of a gateway', () => {
  // A starting daemon served by the configuration of a peer before it had the orders.
  it('has what restricts requests before the configuration, by which a daemon begins to serve', () => {
    const store = new ReplicatedValueStore(GOSSIP_KEYS_OF_EVERY_DIGEST);
    for (const key of Object.values(GossipKey))
      store.apply({ key, version: 1, value: '' });
    const keys = store.nextDigest().map(({ key }) => key);
    const configurationAt = keys.indexOf(GossipKey.Configuration);
    for (const key of [GossipKey.Evacuations, GossipKey.Rollouts])
      assert.ok(keys.indexOf(key) < configurationAt, key);
  });
});
