import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { sampleEndpoint } from './fakes/index.js';
import { RunRecord } from './run-record.js';

describe('RunRecord', () => {
  it('names the source of the prompt with the expected tokens, of the last attempt alone', () => {
    const record = new RunRecord({
      group: 'engines',
      request: { receivedAtMs: 0 },
      sequence: { attempts: 1, obstacle: undefined },
      relay: undefined,
    });
    const promptSource = { endpoint: sampleEndpoint('e2'), tokens: 1_994.5 };
    const placementFields = () => ({ estimatedFirstMs: 40 });
    record.recordPlacement({ placementFields, promptSource });
    const fields = record.fields();
    assert.equal(fields.estimatedFirstMs, 40);
    assert.equal(fields.promptSource, 'e2');
    assert.equal(fields.transferTokens, 1_995);
    record.recordPlacement({ placementFields });
    assert.equal(record.fields().promptSource, undefined);
  });
});
