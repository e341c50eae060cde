import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import {
  DEFAULT_OUTLIER_OPTIONS,
  OutlierEjection,
} from './outlier-ejection.js';

const { baseEjectionMs, failureThreshold } = DEFAULT_OUTLIER_OPTIONS;
const GROUP = 'model';
const GROUP_SIZE = 10;

function recordConsecutiveFailures(
  ejection: OutlierEjection,
  address: string,
): void {
  for (let count = 0; count < failureThreshold; count += 1) {
    ejection.recordFailure(address, GROUP, GROUP_SIZE, 0);
  }
}

describe('OutlierEjection', () => {
  it('ejects after consecutive failures and allows one probe at a time', () => {
    const ejection = new OutlierEjection();
    recordConsecutiveFailures(ejection, 'a');
    assert.ok(!ejection.isAvailable('a', baseEjectionMs - 1));
    assert.ok(ejection.isAvailable('a', baseEjectionMs));
    ejection.recordDispatch('a');
    assert.ok(!ejection.isAvailable('a', baseEjectionMs));
    ejection.recordSuccess('a', GROUP);
    assert.ok(ejection.isAvailable('a', baseEjectionMs));
  });

  it('doubles the ejection time when the probe fails', () => {
    const ejection = new OutlierEjection();
    recordConsecutiveFailures(ejection, 'a');
    ejection.recordDispatch('a');
    ejection.recordFailure('a', GROUP, GROUP_SIZE, baseEjectionMs);
    assert.ok(!ejection.isAvailable('a', 3 * baseEjectionMs - 1));
    assert.ok(ejection.isAvailable('a', 3 * baseEjectionMs));
  });

  it('ejects at most the configured share of a group', () => {
    const ejection = new OutlierEjection();
    const addresses = Array.from(
      { length: GROUP_SIZE },
      (_, index) => `e${index}`,
    );
    for (const address of addresses)
      recordConsecutiveFailures(ejection, address);
    const ejected = addresses.filter(
      address => !ejection.isAvailable(address, 0),
    );
    assert.equal(ejected.length, 3);
  });

  it('never ejects the only endpoint of a group', () => {
    const ejection = new OutlierEjection();
    for (let count = 0; count < 20; count += 1) {
      ejection.recordFailure('a', GROUP, 1, 0);
    }
    assert.ok(ejection.isAvailable('a', 0));
  });
});
