import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';

import {
  EndpointMode,
  sampleConfiguration,
} from '@skylarkreach/platform/stand-ins';

import { LinkState } from './endpoint-links.js';
import type { RunningGateway } from './gateway-deployment.js';
import { waitUntil } from './gateway-fixture.js';
import { CallKind, PartitionFixture } from './partition-fixture.js';

describe('requests that wait at a peer while the configuration changes', () => {
  let fixture: PartitionFixture;
  let cutOff: RunningGateway;

  beforeEach(async () => {
    fixture = new PartitionFixture();
    await fixture.start();
    const [first] = await fixture.cut(1, LinkState.Reset);
    assert.ok(first !== undefined);
    cutOff = first;
  });

  afterEach(async () => {
    await fixture.stop();
  });

  for (const kind of [CallKind.Posting, CallKind.Draft]) {
    it(`answers a ${kind} whose route is removed meanwhile`, async () => {
      for (const endpoint of fixture.deployment.endpoints)
        endpoint.mode = EndpointMode.FallsSilent;
      const response = fixture.send(cutOff, kind, 'single-1');
      await waitUntil(() => fixture.runIds().includes('single-1'));
      const next = JSON.parse(sampleConfiguration(2)) as object;
      fixture.deployment.store.state.put(
        'op/config',
        JSON.stringify({ ...next, Routes: [] }),
      );
      await waitUntil(() =>
        fixture.gateways.every(
          ({ gateway }) => gateway.wiring.configuration.version === 2,
        ),
      );
      assert.equal((await response).statusCode, 200);
      assert.match((await response).text, /answer of |id: 4\n/);
    });
  }

  it('refuses a posting whose route no peer knows yet', async () => {
    const { configuration } = cutOff.gateway.wiring;
    const { current } = configuration;
    assert.ok(current !== undefined);
    const routes = current.routes.map(route => ({
      ...route,
      pathPrefix: `/new${route.pathPrefix}`,
    }));
    configuration.apply({ ...current, version: 2, routes });
    const { statusCode } = await fixture.send(
      cutOff,
      CallKind.Posting,
      'single-1',
      undefined,
      '/new',
    );
    assert.equal(statusCode, 503);
    assert.ok(!fixture.runIds().includes('single-1'));
  });
});
