import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { Random } from '../ports/index.js';
import { SeededRandom } from '../ports/index.js';
import { TwoSampleTest } from './two-sample-test.js';

const BLOCKS = 300;
const NEW_COUNT = 4;
const OLD_COUNT = 12;

function drawEvents(count: number, rate: number, random: Random): number {
  let eventCount = 0;
  for (let index = 0; index < count; index += 1) {
    if (random.nextFloat() < rate) eventCount += 1;
  }
  return eventCount;
}

/** Returns the largest evidence of a run whose event rates may change per block. */
function largestEvidence(
  seed: number,
  rateAt: (block: number) => { newRate: number; oldRate: number },
): number {
  const random = new SeededRandom(seed);
  const test = new TwoSampleTest(BLOCKS);
  let largest = -Infinity;
  for (let block = 0; block < BLOCKS; block += 1) {
    const { newRate, oldRate } = rateAt(block);
    test.add({
      newCount: NEW_COUNT,
      newEvents: drawEvents(NEW_COUNT, newRate, random),
      oldCount: OLD_COUNT,
      oldEvents: drawEvents(OLD_COUNT, oldRate, random),
    });
    largest = Math.max(largest, test.logEvidence);
  }
  return largest;
}

describe('TwoSampleTest', () => {
  it('keeps its false positive rate when checked after every block', () => {
    const alpha = 0.05;
    const runs = 400;
    let falseFindings = 0;
    for (let seed = 1; seed <= runs; seed += 1) {
      // The same incident hits both versions.
      const evidence = largestEvidence(seed, block => {
        const rate = block > 100 && block < 150 ? 0.5 : 0.02;
        return { newRate: rate, oldRate: rate };
      });
      if (evidence >= Math.log(1 / alpha)) falseFindings += 1;
    }
    assert.ok(falseFindings <= runs * alpha, `${falseFindings} of ${runs}`);
  });

  it('detects a regression that starts late, in every run', () => {
    for (let seed = 1; seed <= 100; seed += 1) {
      const evidence = largestEvidence(seed, block => ({
        newRate: block > 250 ? 0.4 : 0.01,
        oldRate: 0.01,
      }));
      assert.ok(evidence >= Math.log(1_000), `seed ${seed}: ${evidence}`);
    }
  });

  it('detects a regression of a kind with less than one request per block on the new version', () => {
    const requestsPerBlock = 2;
    const newShare = 0.3;
    for (let seed = 1; seed <= 100; seed += 1) {
      const random = new SeededRandom(seed);
      const test = new TwoSampleTest(BLOCKS);
      for (let block = 0; block < 100; block += 1) {
        const newCount = drawEvents(requestsPerBlock, newShare, random);
        test.add({
          newCount,
          newEvents: drawEvents(newCount, 0.35, random),
          oldCount: requestsPerBlock - newCount,
          oldEvents: 0,
        });
      }
      assert.ok(test.reaches(Math.log(1_000)), `seed ${seed}`);
    }
  });

  it('draws no evidence from a block in which one version has no request', () => {
    const test = new TwoSampleTest(BLOCKS);
    test.add({ newCount: 50, newEvents: 50, oldCount: 0, oldEvents: 0 });
    assert.equal(test.logEvidence, -Infinity);
  });
});
