import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import { request } from 'undici';

import type { EndpointServer } from '@skylarkreach/platform/stand-ins';
import { EndpointRoom, sampleCall } from '@skylarkreach/platform/stand-ins';

import type { RunningGateway } from './gateway-deployment.js';
import { GatewayDeployment } from './gateway-deployment.js';

const GATEWAYS = 4;
const ENDPOINTS = 4;
const SLOTS = 4;
const SERVICE_MS = 100;
const CAPACITY_PER_SECOND = (ENDPOINTS * SLOTS * 1_000) / SERVICE_MS;
/** Service time under overload, which keeps the load of the test's own process low. */
const OVERLOAD_SERVICE_MS = 200;
const OVERLOAD_CAPACITY_PER_SECOND =
  (ENDPOINTS * SLOTS * 1_000) / OVERLOAD_SERVICE_MS;
const MAX_REJECTIONS_PER_SECOND = 6;
/** Time that the users allow from the first response that states brittleness. */
const CONTACT_MS = 3_000;
/** Time until an endpoint that has fallen over is back. */
const BACK_AFTER_MS = 1_500;
/** Falls that the users allow. */
const ALLOWED_FALLS = 2 + Math.floor(ENDPOINTS / 10);
const DEADLINE_MS = 4_000;
/** Time in which a rejection must arrive, apart from the delay of this process. */
const REJECTION_MS = 500; // an eighth of the caller's deadline
/** Number of calls for each one that no route matches, which shows the delay of this process. */
const CALLS_PER_UNROUTED = 20;
/** Calls that one endpoint has room for, and calls in turn by each of as many callers. */
const CALLERS = SLOTS;
const CALLS_IN_TURN = 30;

interface CallResult {
  readonly status: number;
  readonly elapsedMs: number;
  readonly retryAfter: string | string[] | undefined;
  readonly headers: readonly string[];
}

describe('gateways whose endpoints are brittle', () => {
  let deployment: GatewayDeployment;
  let requestCount: number;
  let falls: number;
  let serviceMs: number;
  /** Slowest call that no route matches. */
  let slowestUnroutedMs: number;

  beforeEach(async () => {
    deployment = new GatewayDeployment();
    requestCount = 0;
    falls = 0;
    serviceMs = SERVICE_MS;
    slowestUnroutedMs = 0;
    await deployment.start();
    for (let number = 1; number <= ENDPOINTS; number += 1) {
      await addEndpoint(`brittle-${number}`, 1);
    }
    for (let number = 1; number <= GATEWAYS; number += 1) {
      await deployment.addGateway(`daemon-${number}`);
    }
  });

  afterEach(async () => {
    await deployment.destroy();
  });

  async function addEndpoint(id: string, bornAtMs: number): Promise<void> {
    const endpoint = await deployment.addEndpoint(
      'ledger',
      id,
      {},
      {
        Slots: SLOTS,
        born: bornAtMs,
      },
    );
    endpoint.room = new EndpointRoom(SLOTS, SLOTS, serviceMs);
  }

  function makeBrittle(endpoint: EndpointServer, fromMs: number): void {
    endpoint.brittleness = {
      maxRejectionsPerSecond: MAX_REJECTIONS_PER_SECOND,
      fromMs,
    };
  }

  /** Makes all endpoints brittle, and from a contact time later lets fewer requests wait. */
  function startBrittleTime(): void {
    const fromMs = performance.now() + CONTACT_MS;
    for (const endpoint of deployment.endpoints) makeBrittle(endpoint, fromMs);
  }

  function denyWaiting(): void {
    for (const { room } of deployment.endpoints) {
      if (room !== undefined) room.waitingPlaces = 0;
    }
  }

  /** Starts endpoints that have fallen over again, under their ids. */
  async function restartFallen(): Promise<void> {
    const fallen = deployment.endpoints.filter(each => each.hasFallen);
    for (const endpoint of fallen) {
      falls += 1;
      deployment.endpoints.splice(deployment.endpoints.indexOf(endpoint), 1);
      deployment.store.state.delete(`servers/${endpoint.id}`);
      await delay(BACK_AFTER_MS);
      await addEndpoint(endpoint.id, falls + 1);
      const restarted = deployment.endpoints.at(-1);
      assert.ok(restarted);
      makeBrittle(restarted, performance.now());
    }
    denyWaiting();
  }

  async function send(
    { addresses }: RunningGateway,
    ownPath?: string,
  ): Promise<CallResult> {
    requestCount += 1;
    const call = sampleCall(`request-${requestCount}`, DEADLINE_MS, false);
    const { headers } = call;
    const path = ownPath ?? call.path;
    const sentAtMs = performance.now();
    const response = await request(`http://${addresses.callers}${path}`, {
      headers,
    });
    await response.body.dump();
    return {
      status: response.statusCode,
      elapsedMs: performance.now() - sentAtMs,
      retryAfter: response.headers['retry-after'],
      headers: Object.keys(response.headers),
    };
  }

  async function sendUnrouted(gateway: RunningGateway): Promise<void> {
    const { elapsedMs, status } = await send(gateway, '/unknown/');
    assert.equal(status, 404);
    slowestUnroutedMs = Math.max(slowestUnroutedMs, elapsedMs);
  }

  /** Sends lookups in turn from a few callers, so that each endpoint has room for all that are in flight. */
  async function sendInTurn(): Promise<CallResult[]> {
    const callers = Array.from({ length: CALLERS }, async (_, index) => {
      const gateway = deployment.gateways[index % deployment.gateways.length];
      assert.ok(gateway);
      const results: CallResult[] = [];
      while (results.length < CALLS_IN_TURN) results.push(await send(gateway));
      return results;
    });
    return (await Promise.all(callers)).flat();
  }

  /** Sends lookups to all gateways in turn for a while. */
  async function sendFor(
    durationMs: number,
    perSecond: number,
  ): Promise<CallResult[]> {
    const startedAtMs = performance.now();
    const calls: Promise<CallResult>[] = [];
    const unrouted: Promise<void>[] = [];
    let elapsedMs = 0;
    while (elapsedMs < durationMs) {
      const due = (elapsedMs * perSecond) / 1_000;
      while (calls.length < due) {
        const { gateways } = deployment;
        const gateway = gateways[calls.length % gateways.length];
        assert.ok(gateway);
        calls.push(send(gateway));
        if (calls.length % CALLS_PER_UNROUTED === 0)
          unrouted.push(sendUnrouted(gateway));
      }
      await delay(5);
      elapsedMs = performance.now() - startedAtMs;
    }
    await Promise.all(unrouted);
    return Promise.all(calls);
  }

  /** Sends lookups to all gateways in turn at one moment. */
  function sendAtOnce(count: number): Promise<CallResult[]> {
    const { gateways } = deployment;
    const calls = Array.from({ length: count }, (_, index) => {
      const gateway = gateways[index % gateways.length];
      assert.ok(gateway);
      return send(gateway);
    });
    return Promise.all(calls);
  }

  function countServed(results: readonly CallResult[]): number {
    return results.filter(({ status }) => status === 200).length;
  }

  it('do not make endpoints fall over at twice their capacity, while daemons are killed and join', async () => {
    serviceMs = OVERLOAD_SERVICE_MS;
    for (const { room } of deployment.endpoints) {
      if (room !== undefined) room.serviceMs = serviceMs;
    }
    startBrittleTime();
    await sendFor(CONTACT_MS, OVERLOAD_CAPACITY_PER_SECOND / 2);
    denyWaiting();
    const results: CallResult[] = [];
    const demand = 2 * OVERLOAD_CAPACITY_PER_SECOND;
    const isOver = { value: false };
    const restarts = (async () => {
      while (!isOver.value) {
        await restartFallen();
        await delay(20);
      }
    })();
    try {
      results.push(...(await sendFor(2_500, demand)));
      const [first] = deployment.gateways;
      assert.ok(first);
      await deployment.removeGateway(first);
      results.push(...(await sendFor(1_500, demand)));
      await deployment.addGateway('joining');
      results.push(...(await sendFor(2_500, demand)));
    } finally {
      isOver.value = true;
      await restarts;
    }
    const served = countServed(results);
    assert.ok(falls <= ALLOWED_FALLS, `${falls} endpoints fell over`);
    const capacity = OVERLOAD_CAPACITY_PER_SECOND * 6.5;
    assert.ok(served >= capacity / 2, `${served} of ${capacity} served`);
    const rejected = results.filter(({ status }) => status !== 200);
    assert.ok(rejected.every(({ status }) => status === 503));
    assert.ok(rejected.every(({ retryAfter }) => Number(retryAfter) > 0));
    const slowestMs = Math.max(0, ...rejected.map(each => each.elapsedMs));
    assert.ok(slowestMs < REJECTION_MS + slowestUnroutedMs, `${slowestMs} ms`);
  });

  it('serve every request while there is room, and do not pass the statement on to callers', async () => {
    startBrittleTime();
    await sendFor(CONTACT_MS, CAPACITY_PER_SECOND / 4);
    denyWaiting();
    const results = await sendInTurn();
    assert.equal(countServed(results), results.length);
    assert.ok(results.every(each => !each.headers.includes('server-brittle')));
  });

  it('let requests wait again at endpoints that are no longer brittle', async () => {
    const atOnce = (ENDPOINTS * SLOTS * 3) / 2;
    startBrittleTime();
    await sendFor(1_000, CAPACITY_PER_SECOND / 4);
    const before = await sendAtOnce(atOnce);
    for (const endpoint of deployment.endpoints) {
      endpoint.brittleness = undefined;
      if (endpoint.room !== undefined) endpoint.room.waitingPlaces = atOnce;
    }
    await sendFor(1_000, CAPACITY_PER_SECOND / 4);
    const after = await sendAtOnce(atOnce);
    assert.ok(countServed(before) <= ENDPOINTS * SLOTS);
    assert.equal(countServed(after), atOnce);
  });
});
