import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { gatewaySettingsSchema } from '../settings/index.js';
import { applyChangedSettings } from './apply-settings.js';

const address = '127.0.0.1:0';

function settingsWith(
  bounds: Readonly<Record<string, number>>,
  storeAddress = address,
) {
  return gatewaySettingsSchema.parse({
    identity: { daemonId: 'daemon-1', dataCentre: 'north-1' },
    listen: {
      callers: address,
      readiness: address,
      operators: address,
      peers: address,
      metrics: address,
    },
    platform: { storeAddress, cloudAddress: address },
    peerSecret: 'a secret of the test',
    bounds,
  });
}

describe('applyChangedSettings', () => {
  it('names each bound that is read only at start, and keeps its value', () => {
    const inForce = settingsWith({ leaseMs: 3_000, coldSlack: 0 });
    const next = settingsWith({ leaseMs: 4_000, coldSlack: 5 });
    const needsRestart = applyChangedSettings(inForce, next);
    assert.deepEqual(needsRestart, ['bounds.leaseMs', 'bounds.coldSlack']);
    assert.equal(inForce.bounds.leaseMs, 3_000);
  });

  it('applies a bound that is read at each use, without a restart', () => {
    const inForce = settingsWith({ repeatSlack: 50, gracePeriodSeconds: 8 });
    const next = settingsWith({ repeatSlack: 60, gracePeriodSeconds: 6 });
    assert.deepEqual(applyChangedSettings(inForce, next), []);
    assert.equal(inForce.bounds.repeatSlack, 60);
    assert.equal(inForce.bounds.gracePeriodSeconds, 6);
  });

  it('keeps the way in which endpoints are planned until a restart', () => {
    const inForce = settingsWith({});
    assert.equal(inForce.fleet.learnsCapacity, false);
    const next = { ...settingsWith({}), fleet: { learnsCapacity: true } };
    assert.deepEqual(applyChangedSettings(inForce, next), ['fleet']);
    assert.equal(inForce.fleet.learnsCapacity, false);
  });

  it('names a changed address of the platform', () => {
    const next = settingsWith({}, '127.0.0.1:1');
    assert.deepEqual(applyChangedSettings(settingsWith({}), next), [
      'platform',
    ]);
  });
});
