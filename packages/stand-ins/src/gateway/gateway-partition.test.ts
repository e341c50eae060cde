import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import { Agent, request } from 'undici';

import {
  EndpointMode,
  SAMPLE_HOST,
  SAMPLE_KEY,
  sampleCall,
} from '@skylarkreach/platform/stand-ins';

import { LinkState } from './endpoint-links.js';
import type { RunningGateway } from './gateway-deployment.js';
import { GatewayDeployment } from './gateway-deployment.js';
import { waitUntil } from './gateway-fixture.js';

/** Time after which a daemon must have found out that its links are cut, as the platform specifies. */
const CONTACT_MS = 3_000;
const ROUNDS = 12;
const ROUND_GAP_MS = 40;
const POSTING = 'posting';

type Kind = 'lookup' | 'draft' | typeof POSTING;
const KINDS: readonly Kind[] = ['lookup', 'draft', POSTING];

describe('a gateway that is cut off from all endpoints', () => {
  let deployment: GatewayDeployment;
  let gateways: RunningGateway[];
  let agent: Agent;
  let sent: number;

  beforeEach(async () => {
    deployment = new GatewayDeployment();
    agent = new Agent();
    sent = 0;
    await deployment.start();
    for (const number of [1, 2]) {
      await deployment.addEndpoint('ledger', `ledger-${number}`);
      await deployment.addEndpoint('engines', `engine-${number}`);
    }
    gateways = [];
    for (const number of [1, 2, 3, 4]) {
      gateways.push(await deployment.addGateway(`daemon-${number}`));
    }
    await waitUntil(() =>
      gateways.every(each => each.gateway.wiring.cluster.size === 4),
    );
    for (const gateway of gateways) await serveAll(gateway);
  });

  afterEach(async () => {
    await agent.destroy();
    await deployment.destroy();
  });

  /** Sends a request of a kind to a gateway, as a caller that makes one attempt. */
  async function send(
    { addresses }: RunningGateway,
    kind: Kind,
    requestId: string,
    signal?: AbortSignal,
  ) {
    const call = sampleCall(requestId, 1_500, kind === 'draft');
    const { body, headers, statusCode } = await request(
      `http://${addresses.callers}${kind === POSTING ? '/postings/a' : call.path}`,
      {
        method: kind === POSTING ? 'POST' : 'GET',
        headers: { ...call.headers, host: SAMPLE_HOST, key: SAMPLE_KEY },
        body: kind === POSTING ? '{"amount":1}' : null,
        dispatcher: agent,
        signal: signal ?? null,
      },
    );
    return { statusCode, headers, text: await body.text() };
  }

  /** Sends one request of each kind and returns the number that were served. */
  async function serveAll(gateway: RunningGateway): Promise<number> {
    const responses = KINDS.map(kind => {
      sent += 1;
      return send(gateway, kind, `${kind}-${sent}`);
    });
    const results = await Promise.allSettled(responses);
    return results.filter(
      result =>
        result.status === 'fulfilled' && result.value.statusCode === 200,
    ).length;
  }

  /** Serves rounds of requests at the gateways, and returns the number of served ones at each. */
  async function serveRounds(
    served: readonly RunningGateway[],
  ): Promise<number[]> {
    const counts = served.map(() => 0);
    for (let round = 0; round < ROUNDS; round += 1) {
      await Promise.all(
        served.map(async (gateway, index) => {
          counts[index] = (counts[index] ?? 0) + (await serveAll(gateway));
        }),
      );
      await delay(ROUND_GAP_MS);
    }
    return counts;
  }

  /** Cuts the links of some gateways and lets requests show it until `CONTACT_MS` have passed. */
  async function cut(
    count: number,
    state: LinkState,
  ): Promise<readonly RunningGateway[]> {
    const cutOff = gateways.slice(0, count);
    for (const { links } of cutOff) links.setState(state);
    const knownAtMs = performance.now() + CONTACT_MS;
    while (performance.now() < knownAtMs) {
      for (const gateway of cutOff) void serveAll(gateway);
      await delay(200);
    }
    return cutOff;
  }

  function runIds(): string[] {
    return deployment.endpoints.flatMap(each =>
      each.runs.map(run => run.requestId),
    );
  }

  for (const state of [
    LinkState.Silent,
    LinkState.Reset,
    LinkState.RefusesNew,
  ]) {
    for (const count of [1, 3]) {
      it(`serves first attempts through its peers while ${count} of 4 are cut off and links are ${state}`, async () => {
        const cutOff = await cut(count, state);
        const counts = await serveRounds(cutOff);
        for (const each of counts) assert.equal(each, ROUNDS * KINDS.length);
        const ids = runIds().filter(id => id.startsWith(POSTING));
        assert.equal(new Set(ids).size, ids.length, 'a posting ran twice');
      });
    }
  }

  it('sends on by itself soon after its links are back', async () => {
    const [cutOff] = await cut(1, LinkState.Reset);
    assert.ok(cutOff !== undefined);
    cutOff.links.setState(LinkState.Intact);
    await delay(2_000);
    const others = gateways.slice(1);
    for (const { links } of others) links.setState(LinkState.Reset);
    const [count] = await serveRounds([cutOff]);
    assert.equal(count, ROUNDS * KINDS.length);
  });

  it('refuses at once, as before, where no peer reaches the endpoints either', async () => {
    const [first] = await cut(4, LinkState.Reset);
    assert.ok(first !== undefined);
    const startedAtMs = performance.now();
    const { headers, statusCode } = await send(first, POSTING, 'single-1');
    assert.equal(statusCode, 503);
    assert.ok(Number(headers['retry-after']) > 0);
    assert.ok(performance.now() - startedAtMs < 500);
    assert.ok(!runIds().includes('single-1'));
  });

  it('runs a posting once and answers 502 where its response is lost behind the peer', async () => {
    const [cutOff] = await cut(1, LinkState.Reset);
    assert.ok(cutOff !== undefined);
    for (const endpoint of deployment.endpoints)
      endpoint.mode = EndpointMode.DropsResponses;
    const { statusCode } = await send(cutOff, POSTING, 'single-1');
    assert.equal(statusCode, 502);
    assert.equal(runIds().filter(id => id === 'single-1').length, 1);
  });

  it('answers 503 to a posting that the endpoints behind the peer refuse', async () => {
    const [cutOff] = await cut(1, LinkState.Reset);
    assert.ok(cutOff !== undefined);
    for (const endpoint of deployment.endpoints)
      endpoint.mode = EndpointMode.ShedsLoad;
    const { headers, statusCode } = await send(cutOff, POSTING, 'single-1');
    assert.equal(statusCode, 503);
    assert.ok(Number(headers['retry-after']) > 0);
    assert.ok(!runIds().includes('single-1'));
  });

  it('makes no more attempts than the route allows, by itself and through peers together', async () => {
    const [cutOff] = await cut(1, LinkState.Reset);
    assert.ok(cutOff !== undefined);
    for (const endpoint of deployment.endpoints)
      endpoint.mode = EndpointMode.DropsResponses;
    const { statusCode } = await send(cutOff, 'lookup', 'single-1');
    assert.equal(statusCode, 502);
    assert.equal(runIds().filter(id => id === 'single-1').length, 2);
  });

  it('joins a stream that breaks off behind one peer with its rest behind another', async () => {
    const [cutOff] = await cut(1, LinkState.Reset);
    assert.ok(cutOff !== undefined);
    for (const endpoint of deployment.endpoints)
      endpoint.mode = EndpointMode.AbortsStreams;
    const { statusCode, text } = await send(cutOff, 'draft', 'single-1');
    assert.equal(statusCode, 200);
    const ids = [...text.matchAll(/id: (\d+)/g)].map(match => Number(match[1]));
    assert.deepEqual(ids, [1, 2, 3, 4]);
  });

  it('stops the request behind the peer when the caller leaves', async () => {
    const [cutOff] = await cut(1, LinkState.Reset);
    assert.ok(cutOff !== undefined);
    for (const endpoint of deployment.endpoints)
      endpoint.mode = EndpointMode.Hangs;
    const leave = new AbortController();
    const response = send(cutOff, 'lookup', 'single-1', leave.signal);
    await waitUntil(() => runIds().includes('single-1'));
    leave.abort();
    await assert.rejects(response);
    const leftAtMs = performance.now();
    await waitUntil(() =>
      deployment.endpoints.some(each =>
        each.abortedRequestIds.includes('single-1'),
      ),
    );
    assert.ok(performance.now() - leftAtMs < 500);
  });

  it('does not take a crash of all endpoints of one service for a cut of the others', async () => {
    for (const endpoint of deployment.endpoints) {
      if (endpoint.id.startsWith('ledger')) endpoint.destroy();
    }
    const [first] = gateways;
    assert.ok(first !== undefined);
    for (let round = 0; round < ROUNDS; round += 1) {
      await serveAll(first);
      await delay(100);
      const id = `single-${round}`;
      assert.equal((await send(first, 'draft', id)).statusCode, 200);
    }
  });
});
