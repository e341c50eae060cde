import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';

import { parseAnySettings } from '@skylarkreach/daemon';
import {
  createMachine,
  renderSettings,
} from '@skylarkreach/platform/stand-ins';

const TEMPLATE = readFileSync(
  new URL('../../../../platform/settings.template', import.meta.url),
  'utf8',
);

describe('the template of the settings', () => {
  it('gives this build the regions of the data centres and the bound on evacuations', () => {
    const addresses = { store: '127.0.0.1:1', cloud: '127.0.0.1:2' };
    const machine = createMachine('127.0.0.1', 'edge-1', addresses, []);
    const settings = parseAnySettings(
      'x.yaml',
      renderSettings(TEMPLATE, machine, true),
    );
    assert.ok('gateway' in settings);
    const { bounds, identity } = settings.gateway;
    assert.equal(identity.regions['south-1'], 'south');
    assert.equal(bounds.evacuationMs, machine.values['Bounds.EvacuationMs']);
  });

  // A field without a value kept every daemon from starting on platforms that state no such bound.
  it('leaves out the bounds that the platform does not state', () => {
    const addresses = { store: '127.0.0.1:1', cloud: '127.0.0.1:2' };
    const machine = createMachine('127.0.0.1', 'edge-1', addresses, []);
    const {
      'Bounds.EvacuationMs': evacuationMs,
      'Bounds.ColdOverage': coldOverage,
      ...values
    } = machine.values;
    assert.ok(evacuationMs !== undefined && coldOverage !== undefined);
    const text = renderSettings(TEMPLATE, { ...machine, values }, true);
    const settings = parseAnySettings('x.yaml', text);
    assert.ok('gateway' in settings);
    assert.equal(settings.gateway.bounds.evacuationMs, 5_000);
    assert.equal(settings.gateway.bounds.coldOverage, 1);
  });
});
