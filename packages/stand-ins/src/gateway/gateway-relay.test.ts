import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import { request } from 'undici';

import {
  EndpointMode,
  SAMPLE_HOST,
  SAMPLE_KEY,
} from '@skylarkreach/platform/stand-ins';

import { LinkState } from './endpoint-links.js';
import { waitUntil } from './gateway-fixture.js';
import {
  CallKind,
  CONTACT_MS,
  PartitionFixture,
  ROUNDS,
  SERVED_KINDS,
} from './partition-fixture.js';

describe('requests that a gateway passes on through a peer', () => {
  let fixture: PartitionFixture;

  beforeEach(async () => {
    fixture = new PartitionFixture();
    await fixture.start();
  });

  afterEach(async () => {
    await fixture.stop();
  });

  it('runs a posting once and answers 502 where its response is lost behind the peer', async () => {
    const [cutOff] = await fixture.cut(1, LinkState.Reset);
    assert.ok(cutOff !== undefined);
    for (const endpoint of fixture.deployment.endpoints)
      endpoint.mode = EndpointMode.DropsResponses;
    const { statusCode } = await fixture.send(
      cutOff,
      CallKind.Posting,
      'single-1',
    );
    assert.equal(statusCode, 502);
    assert.equal(fixture.runIds().filter(id => id === 'single-1').length, 1);
  });

  it('sends a posting through another peer where one refuses the message, as one of another build may', async () => {
    const [cutOff] = await fixture.cut(1, LinkState.Reset);
    assert.ok(cutOff !== undefined);
    for (const { gateway } of fixture.gateways.slice(1, 3)) {
      gateway.wiring.cluster.onRelay((message, response) => {
        message.resume();
        response.writeHead(401, { connection: 'close' }).end();
      });
    }
    const statuses: number[] = [];
    for (let number = 1; number <= ROUNDS; number += 1) {
      const id = `single-${number}`;
      const { statusCode } = await fixture.send(cutOff, CallKind.Posting, id);
      statuses.push(statusCode);
    }
    assert.deepEqual(new Set(statuses), new Set([200]));
  });

  it('answers 503 to a posting that the endpoints behind the peer refuse', async () => {
    const [cutOff] = await fixture.cut(1, LinkState.Reset);
    assert.ok(cutOff !== undefined);
    for (const endpoint of fixture.deployment.endpoints)
      endpoint.mode = EndpointMode.ShedsLoad;
    const { headers, statusCode } = await fixture.send(
      cutOff,
      CallKind.Posting,
      'single-1',
    );
    assert.equal(statusCode, 503);
    assert.ok(Number(headers['retry-after']) > 0);
    assert.ok(!fixture.runIds().includes('single-1'));
  });

  it('makes no more attempts than the route allows, by itself and through peers together', async () => {
    const [cutOff] = await fixture.cut(1, LinkState.Reset);
    assert.ok(cutOff !== undefined);
    for (const endpoint of fixture.deployment.endpoints)
      endpoint.mode = EndpointMode.DropsResponses;
    const { statusCode } = await fixture.send(
      cutOff,
      CallKind.Lookup,
      'single-1',
    );
    assert.equal(statusCode, 502);
    assert.equal(fixture.runIds().filter(id => id === 'single-1').length, 2);
  });

  it('joins a stream that breaks off behind one peer with its rest behind another', async () => {
    const [cutOff] = await fixture.cut(1, LinkState.Reset);
    assert.ok(cutOff !== undefined);
    for (const endpoint of fixture.deployment.endpoints)
      endpoint.mode = EndpointMode.AbortsStreams;
    const { statusCode, text } = await fixture.send(
      cutOff,
      CallKind.Draft,
      'single-1',
    );
    assert.equal(statusCode, 200);
    const ids = [...text.matchAll(/id: (\d+)/g)].map(match => Number(match[1]));
    assert.deepEqual(ids, [1, 2, 3, 4]);
  });

  it('stops the request behind the peer when the caller leaves', async () => {
    const [cutOff] = await fixture.cut(1, LinkState.Reset);
    assert.ok(cutOff !== undefined);
    for (const endpoint of fixture.deployment.endpoints)
      endpoint.mode = EndpointMode.Hangs;
    const leave = new AbortController();
    const response = fixture.send(
      cutOff,
      CallKind.Lookup,
      'single-1',
      leave.signal,
    );
    await waitUntil(() => fixture.runIds().includes('single-1'));
    leave.abort();
    await assert.rejects(response);
    const leftAtMs = performance.now();
    await waitUntil(() =>
      fixture.deployment.endpoints.some(each =>
        each.abortedRequestIds.includes('single-1'),
      ),
    );
    assert.ok(performance.now() - leftAtMs < 500);
  });

  it('goes on through another peer where one has just been killed, and counts usage once', async () => {
    const [cutOff] = await fixture.cut(1, LinkState.Reset);
    const [, second, third] = fixture.gateways;
    assert.ok(cutOff !== undefined && second !== undefined);
    assert.ok(third !== undefined);
    await fixture.deployment.removeGateway(second);
    const before = fixture.usage();
    const [count] = await fixture.serveRounds([cutOff]);
    assert.equal(count, ROUNDS * SERVED_KINDS.length);
    assert.equal(fixture.usage() - before, ROUNDS * SERVED_KINDS.length);
  });

  it('sends no request on for a sender that is no peer', async () => {
    const [first] = fixture.gateways;
    assert.ok(first !== undefined);
    const { peerAddress } = first.gateway.wiring.cluster.identity;
    const head = {
      requestId: 'forged-1',
      method: 'GET',
      target: '/lookups/a',
      headers: ['host', SAMPLE_HOST, 'key', SAMPLE_KEY],
      hasBody: false,
      remainingMs: 1_000,
      excludedIds: [],
    };
    const { body, statusCode } = await request(`http://${peerAddress}/relay`, {
      method: 'POST',
      body: `${JSON.stringify(head)}\n`,
      dispatcher: fixture.agent,
    });
    await body.dump();
    assert.equal(statusCode, 401);
    assert.ok(!fixture.runIds().includes('forged-1'));
  });

  it('does not block requests as crashing ones that were in flight as its links were cut', async () => {
    await fixture.deployment.addEndpoint('ledger', 'ledger-3');
    await fixture.deployment.addEndpoint('ledger', 'ledger-4');
    const [cutOff, other] = fixture.gateways;
    assert.ok(cutOff !== undefined && other !== undefined);
    const { pool } = cutOff.gateway.wiring;
    await waitUntil(() => pool.endpoints().length === 6);
    for (const endpoint of fixture.deployment.endpoints)
      endpoint.mode = EndpointMode.Hangs;
    const numbers = [1, 2, 3, 4];
    const inFlight = numbers.map(each =>
      fixture.send(cutOff, CallKind.HotLookup, `same-${each}`),
    );
    await waitUntil(
      () => fixture.runIds().length === fixture.sent + numbers.length,
    );
    cutOff.links.setState(LinkState.Reset);
    for (const endpoint of fixture.deployment.endpoints)
      endpoint.mode = EndpointMode.Responds;
    await Promise.allSettled(inFlight);
    await delay(CONTACT_MS);
    for (const gateway of [cutOff, other]) {
      const id = `later-${fixture.gateways.indexOf(gateway)}`;
      assert.equal(
        (await fixture.send(gateway, CallKind.HotLookup, id)).statusCode,
        200,
      );
    }
  });
});
