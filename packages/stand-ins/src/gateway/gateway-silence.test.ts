import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import {
  EndpointMode,
  sampleConfiguration,
} from '@skylarkreach/platform/stand-ins';

import type { GatewayDeployment } from './gateway-deployment.js';
import { GatewayFixture, waitUntil } from './gateway-fixture.js';

/** Longer than the gap after which a stream is continued at another endpoint, and than its time to the first event. */
const ENGINE_SILENCE_MS = 2_000;
/** Longer than the time after which a lookup is sent to another endpoint. */
const LEDGER_SILENCE_MS = 800;
const streamHeaders = {
  model: 'm',
  'token-usage': '100,20',
  'prompt-prefix': 'aa:60,bb:40',
  'deadline-ms': '8000',
};

async function addSilentEndpoints(
  deployment: GatewayDeployment,
): Promise<void> {
  for (const count of [1, 2]) {
    await deployment.addEndpoint('ledger', `ledger-${count}`, {
      silentForMs: LEDGER_SILENCE_MS,
    });
    await deployment.addEndpoint('engines', `engine-${count}`, {
      silentForMs: ENGINE_SILENCE_MS,
    });
  }
  for (const endpoint of deployment.endpoints)
    endpoint.mode = EndpointMode.FallsSilent;
}

function eventIds(text: string): number[] {
  return [...text.matchAll(/id: (\d+)/g)].map(match => Number(match[1]));
}

describe('a gateway whose endpoints all fall silent as the configuration changes', () => {
  let fixture: GatewayFixture;
  let configurationVersion = 1;

  beforeEach(async () => {
    fixture = new GatewayFixture(addSilentEndpoints);
    await fixture.start();
  });

  afterEach(async () => {
    await fixture.stop();
  });

  async function changeConfiguration(): Promise<void> {
    await delay(100);
    configurationVersion += 1;
    fixture.deployment.writeConfiguration(configurationVersion);
  }

  async function waitForStatus(status: number): Promise<void> {
    const headers = { 'deadline-ms': '100' };
    while ((await fixture.statusOf('/lookups/b', headers)) !== status)
      await delay(20);
  }

  it('does not cut a stream that may be resumed', async () => {
    const changed = changeConfiguration();
    const { body, statusCode } = await fixture.send('/drafts/a', streamHeaders);
    assert.equal(statusCode, 200);
    assert.deepEqual(eventIds(await body.text()), [1, 2, 3, 4]);
    await changed;
  });

  it('does not cut a stream that may not be resumed', async () => {
    const changed = changeConfiguration();
    const { body, statusCode } = await fixture.send(
      '/answers/a',
      streamHeaders,
    );
    assert.equal(statusCode, 200);
    assert.deepEqual(eventIds(await body.text()), [1, 2, 3, 4]);
    assert.equal(fixture.runs().length, 1);
    await changed;
  });

  /** Sends a request, and sets the mode of the endpoint that did not get it. */
  async function sendBeside(
    mode: EndpointMode,
    [path, service]: readonly [string, string],
    headers: Readonly<Record<string, string>> = {},
  ) {
    const sent = fixture.send(path, headers);
    await waitUntil(() => fixture.runs().length === 1);
    const [run] = fixture.runs();
    assert.ok(run);
    const other = fixture.deployment.endpoints.find(
      endpoint =>
        endpoint.id.startsWith(service) && !endpoint.runs.includes(run),
    );
    assert.ok(other);
    other.mode = mode;
    return sent;
  }

  for (const mode of [
    EndpointMode.ShedsLoad,
    EndpointMode.FailsAfterRun,
    EndpointMode.DropsResponses,
  ]) {
    it(`does not cut a stream where the other endpoint ${mode}`, async () => {
      const draft = ['/drafts/a', 'engine'] as const;
      const { body } = await sendBeside(mode, draft, streamHeaders);
      assert.deepEqual(eventIds(await body.text()), [1, 2, 3, 4]);
    });
  }

  it('answers a lookup where the other endpoint fails', async () => {
    const lookup = ['/lookups/a', 'ledger'] as const;
    const sent = await sendBeside(EndpointMode.FailsAfterRun, lookup);
    await sent.body.dump();
    assert.equal(sent.statusCode, 200);
  });

  it('does not cut a stream whose endpoint leaves the list', async () => {
    const { store } = fixture.deployment;
    const { body } = await fixture.send('/answers/a', streamHeaders);
    const text = body.text();
    for (const { Key: key } of store.state.listPrefix('servers/')) {
      store.state.delete(key);
    }
    assert.deepEqual(eventIds(await text), [1, 2, 3, 4]);
  });

  it('does not cut a stream whose route is removed', async () => {
    const { store } = fixture.deployment;
    const { body } = await fixture.send('/answers/a', streamHeaders);
    const text = body.text();
    const configuration = JSON.parse(sampleConfiguration(2)) as object;
    store.state.put(
      'op/config',
      JSON.stringify({ ...configuration, Routes: [] }),
    );
    await waitForStatus(404);
    assert.deepEqual(eventIds(await text), [1, 2, 3, 4]);
  });

  it('answers a lookup', async () => {
    const changed = changeConfiguration();
    assert.equal(await fixture.statusOf('/lookups/a'), 200);
    await changed;
  });

  it('answers a posting, which runs once', async () => {
    const changed = changeConfiguration();
    const response = await fixture.send('/postings/a', {}, { body: '{}' });
    assert.equal(response.statusCode, 200);
    await response.body.dump();
    assert.equal(fixture.runs().length, 1);
    await changed;
  });
});
