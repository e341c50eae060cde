import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { EndpointState } from '../forwarding/index.js';
import { reclaimableEndpointIn } from './fakes/index.js';
import { ProvisionedCapacity } from './provisioned-capacity.js';

const OBSERVATION_MS = 8_000;

describe('ProvisionedCapacity', () => {
  it('keeps what an idle group has until its load has been observed, since it may have been provisioned for a load to come', () => {
    const capacity = new ProvisionedCapacity(OBSERVATION_MS);
    const endpoints = ['a', 'b', 'c'].map(each => reclaimableEndpointIn(each));
    const draining = reclaimableEndpointIn('d', EndpointState.Draining);
    const all = [...endpoints, draining];
    assert.equal(capacity.kept(all, false, 0).count, 3);
    assert.equal(capacity.kept([], false, 60_000).count, 3);
    assert.equal(capacity.kept(all, true, 60_500).count, 3);
    assert.equal(capacity.kept(all, false, 68_400).count, 3);
    assert.equal(capacity.kept(all, true, 68_500).count, 0);
  });

  it('waits for the first endpoints, as none may be listed yet', () => {
    const capacity = new ProvisionedCapacity(OBSERVATION_MS);
    assert.equal(capacity.kept([], false, 0).count, 0);
    const endpoints = [reclaimableEndpointIn('a')];
    assert.equal(capacity.kept(endpoints, false, 500).count, 1);
  });
});
