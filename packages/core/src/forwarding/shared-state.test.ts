import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { sampleConfiguration } from './fakes/index.js';
import { parseSharedConfiguration } from './shared-state.js';

/** Returns a configuration as a peer sends it, whose engines have the given transfer capacity. */
function textWith(transfer: unknown): string {
  const engine = { slots: 48, cacheTokens: 544_981, transfer };
  const group = { name: 'engines', maxConnections: 310, engine };
  return JSON.stringify({ ...sampleConfiguration([]), groups: [group] });
}

describe('parseSharedConfiguration', () => {
  it('accepts engines of which a peer of an older build states no transfer capacity', () => {
    const transferOf = (transfer: unknown) =>
      parseSharedConfiguration(textWith(transfer)).groups[0]?.engine?.transfer;
    const capacity = { bytesPerToken: 18_432, bytesPerMs: 22_500_000 };
    assert.deepEqual(transferOf(capacity), capacity);
    assert.equal(transferOf(undefined), undefined);
    assert.throws(() => transferOf({ bytesPerToken: 18_432 }));
  });
});
