import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import {
  DEFAULT_OUTLIER_OPTIONS,
  OutlierEjection,
} from './outlier-ejection.js';

const { firstEjectionMs, maxFailures } = DEFAULT_OUTLIER_OPTIONS;
const GROUP = 'model';
const GROUP_SIZE = 10;

function failInARow(outliers: OutlierEjection, address: string): void {
  for (let count = 0; count < maxFailures; count += 1) {
    outliers.recordFailure(address, GROUP, GROUP_SIZE, 0);
  }
}

describe('OutlierEjection', () => {
  it('ejects after failures in a row and lets one probe through at a time', () => {
    const outliers = new OutlierEjection();
    failInARow(outliers, 'a');
    assert.ok(!outliers.isAvailable('a', firstEjectionMs - 1));
    assert.ok(outliers.isAvailable('a', firstEjectionMs));
    outliers.recordDispatch('a');
    assert.ok(!outliers.isAvailable('a', firstEjectionMs));
    outliers.recordSuccess('a', GROUP);
    assert.ok(outliers.isAvailable('a', firstEjectionMs));
  });

  it('ejects for longer where the probe fails', () => {
    const outliers = new OutlierEjection();
    failInARow(outliers, 'a');
    outliers.recordDispatch('a');
    outliers.recordFailure('a', GROUP, GROUP_SIZE, firstEjectionMs);
    assert.ok(!outliers.isAvailable('a', 3 * firstEjectionMs - 1));
    assert.ok(outliers.isAvailable('a', 3 * firstEjectionMs));
  });

  it('ejects no more than its share of a group', () => {
    const outliers = new OutlierEjection();
    const addresses = Array.from({ length: GROUP_SIZE }, (_, at) => `e${at}`);
    for (const address of addresses) failInARow(outliers, address);
    const ejected = addresses.filter(each => !outliers.isAvailable(each, 0));
    assert.equal(ejected.length, 3);
  });

  it('never ejects the only endpoint of a group', () => {
    const outliers = new OutlierEjection();
    for (let count = 0; count < 20; count += 1) {
      outliers.recordFailure('a', GROUP, 1, 0);
    }
    assert.ok(outliers.isAvailable('a', 0));
  });
});
