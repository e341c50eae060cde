import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { ScriptedResponse } from './fakes/index.js';
import { draftRoute, eventText, ForwarderHarness } from './fakes/index.js';
import type { OutputTraits } from './output-estimator.js';

const STREAM = { isEventStream: true };

async function recordedTokens(
  script: readonly ScriptedResponse[],
  lastEventId?: string,
): Promise<readonly (readonly [OutputTraits, number])[]> {
  const recorded: [OutputTraits, number][] = [];
  const harness = new ForwarderHarness(script, draftRoute, {
    outputEstimator: {
      estimate: () => undefined,
      record: (traits, tokens) => recorded.push([traits, tokens]),
    },
  });
  await harness.serve({ outputTokensHint: 9, lastEventId });
  return recorded;
}

describe('output of streams', () => {
  it('is recorded for a stream that one endpoint answered whole', async () => {
    const script = [{ metadata: STREAM, chunks: [eventText(1, 2, 3)] }];
    const traits = { route: 'drafts', workspace: 'kowhai', hint: 9 };
    assert.deepEqual(await recordedTokens(script), [[traits, 3]]);
  });

  it('is not recorded for a part of a stream, which would be taken for a short one', async () => {
    const joined = [
      { metadata: STREAM, chunks: [eventText(1, 2)], isTruncated: true },
      { metadata: STREAM, chunks: [eventText(3)] },
    ];
    assert.deepEqual(await recordedTokens(joined), []);
    const rest = [{ metadata: STREAM, chunks: [eventText(3)] }];
    assert.deepEqual(await recordedTokens(rest, '2'), []);
  });
});
