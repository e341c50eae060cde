import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { shareMachine } from './machine-shares.js';

const LARGEST_BODY_BYTES = 4_194_304;
const BODY_COUNT = 3;

describe('shareMachine', () => {
  for (const [memoryMb, maxDescriptors] of [
    [210, 2_212],
    [602, 10_250],
  ] as const) {
    // A caller inside the configured limits must not meet those of the machine.
    it(`holds several of the largest bodies on a machine of ${memoryMb} MB`, () => {
      const shares = shareMachine({ memoryMb, maxDescriptors });
      assert.ok(shares.requestBytes >= BODY_COUNT * LARGEST_BODY_BYTES);
      assert.ok(shares.responseBytes >= BODY_COUNT * LARGEST_BODY_BYTES);
    });

    it(`leaves descriptors for endpoints on a machine of ${memoryMb} MB`, () => {
      const shares = shareMachine({ memoryMb, maxDescriptors });
      const { callerConnections, operatorConnections, peerConnections } =
        shares;
      const listeners =
        callerConnections + operatorConnections + peerConnections;
      assert.ok(listeners + callerConnections <= maxDescriptors);
    });
  }
});
