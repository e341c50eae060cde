import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { noopMetrics } from '../ports/index.js';
import { OutputEstimates } from './output-estimates.js';

const TRAITS = { route: 'drafts', workspace: 'kowhai', hint: 20 };

function learn(estimates: OutputEstimates, tokens: readonly number[]): void {
  for (const each of tokens) estimates.record(TRAITS, each);
}

describe('OutputEstimates', () => {
  it('takes the hint until it has seen requests of the kind, and knows nothing without one', () => {
    const estimates = new OutputEstimates(noopMetrics);
    assert.deepEqual(estimates.estimate(TRAITS), {
      tokens: 20,
      errorFactor: 1,
    });
    const withoutHint = { ...TRAITS, hint: undefined };
    assert.equal(estimates.estimate(withoutHint), undefined);
  });

  it('corrects the hints of a caller that are far off, and states how far its own estimates were', () => {
    const estimates = new OutputEstimates(noopMetrics);
    learn(estimates, Array<number>(30).fill(80));
    const steady = estimates.estimate(TRAITS);
    assert.ok(Math.abs((steady?.tokens ?? 0) - 80) < 1);
    assert.ok((steady?.errorFactor ?? Infinity) < 1.2);
    learn(estimates, [20, 320, 20, 320, 20, 320]);
    assert.ok((estimates.estimate(TRAITS)?.errorFactor ?? 0) > 1.5);
  });

  it('estimates an unknown workspace by the others of the route, and no other route by them', () => {
    const estimates = new OutputEstimates(noopMetrics);
    learn(estimates, [80, 80, 80]);
    const other = estimates.estimate({ ...TRAITS, workspace: 'lumela' });
    assert.ok(Math.abs((other?.tokens ?? 0) - 80) < 1);
    const otherRoute = estimates.estimate({ ...TRAITS, route: 'lookups' });
    assert.equal(otherRoute?.tokens, 20);
  });
});
