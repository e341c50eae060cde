import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import { request } from 'undici';

import type { EndpointServer } from '@skylarkreach/platform/stand-ins';
import {
  EndpointMode,
  SAMPLE_HOST,
  SAMPLE_KEY,
  sampleCall,
} from '@skylarkreach/platform/stand-ins';

import { LinkState } from './endpoint-links.js';
import {
  CallKind,
  PartitionFixture,
  ROUNDS,
  SERVED_KINDS,
} from './partition-fixture.js';

describe('a gateway that is cut off from all endpoints', () => {
  let fixture: PartitionFixture;

  beforeEach(async () => {
    fixture = new PartitionFixture();
    await fixture.start();
  });

  afterEach(async () => {
    await fixture.stop();
  });

  /** Returns the ids of a stream whose gateway is cut off within it; `change` is applied to the engine that does not run it. */
  async function idsOfCutDraft(
    state: LinkState,
    change: (other: EndpointServer) => void,
  ): Promise<number[]> {
    const [engine, other] = fixture.deployment.endpoints.filter(each =>
      each.id.startsWith('engine'),
    );
    assert.ok(engine !== undefined && other !== undefined);
    engine.mode = EndpointMode.FallsSilent;
    other.mode = EndpointMode.FallsSilent;
    const { addresses, links } = fixture.gateway(0);
    const { headers, path } = sampleCall('cut-1', 6_000, true);
    const sent = await request(`http://${addresses.callers}${path}`, {
      headers: { ...headers, host: SAMPLE_HOST, key: SAMPLE_KEY },
      dispatcher: fixture.agent,
    });
    await delay(100);
    const isFirst = engine.runs.some(each => each.requestId === 'cut-1');
    change(isFirst ? other : engine);
    links.setState(state);
    const text = await sent.body.text();
    return [...text.matchAll(/id: (\d+)/g)].map(match => Number(match[1]));
  }

  for (const state of [
    LinkState.Silent,
    LinkState.Reset,
    LinkState.RefusesNew,
  ]) {
    for (const count of [1, 3]) {
      it(`serves first attempts through its peers while ${count} of 4 are cut off and links are ${state}`, async () => {
        const cutOff = await fixture.cut(count, state);
        const counts = await fixture.serveRounds(cutOff);
        for (const each of counts)
          assert.equal(each, ROUNDS * SERVED_KINDS.length);
        const ids = fixture
          .runIds()
          .filter(id => id.startsWith(CallKind.Posting));
        assert.equal(new Set(ids).size, ids.length, 'a posting ran twice');
      });
    }
  }

  for (const state of [LinkState.Silent, LinkState.Reset]) {
    it(`does not cut a stream that began before its links were ${state}`, async () => {
      const ids = await idsOfCutDraft(state, () => undefined);
      assert.deepEqual(ids, [1, 2, 3, 4]);
    });

    it(`does not cut a stream that began before its links were ${state} where the first endpoint behind a peer fails`, async () => {
      const ids = await idsOfCutDraft(state, other => {
        other.mode = EndpointMode.FailsAfterRun;
      });
      assert.deepEqual(ids, [1, 2, 3, 4]);
    });
  }

  it('sends on by itself soon after its links are back', async () => {
    const [cutOff] = await fixture.cut(1, LinkState.Reset);
    assert.ok(cutOff !== undefined);
    cutOff.links.setState(LinkState.Intact);
    await delay(2_000);
    const others = fixture.gateways.slice(1);
    for (const { links } of others) links.setState(LinkState.Reset);
    const [count] = await fixture.serveRounds([cutOff]);
    assert.equal(count, ROUNDS * SERVED_KINDS.length);
  });

  it('refuses at once, as before, where no peer reaches the endpoints either', async () => {
    const [first] = await fixture.cut(4, LinkState.Reset);
    assert.ok(first !== undefined);
    const startedAtMs = performance.now();
    const { headers, statusCode } = await fixture.send(
      first,
      CallKind.Posting,
      'single-1',
    );
    assert.equal(statusCode, 503);
    assert.ok(Number(headers['retry-after']) > 0);
    const elapsedMs = performance.now() - startedAtMs;
    assert.ok(elapsedMs < 500, `${elapsedMs} ms`);
    assert.ok(!fixture.runIds().includes('single-1'));
  });

  it('does not take a crash of all endpoints of one service for a cut of the others', async () => {
    for (const endpoint of fixture.deployment.endpoints) {
      if (endpoint.id.startsWith('ledger')) endpoint.destroy();
    }
    const [first] = fixture.gateways;
    assert.ok(first !== undefined);
    for (let round = 0; round < ROUNDS; round += 1) {
      await fixture.serveAll(first);
      await delay(100);
      const id = `single-${round}`;
      assert.equal(
        (await fixture.send(first, CallKind.Draft, id)).statusCode,
        200,
      );
    }
  });
});
