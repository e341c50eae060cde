import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { warmEndpoint } from '../fakes/index.js';
import type { EndpointRecord } from '../forwarding/index.js';
import { KnownDaemons } from '../membership/index.js';
import { noopLog, noopMetrics } from '../ports/index.js';
import { BrittleEndpoints } from './brittle-endpoints.js';
import { BrittleSimulation } from './fakes/index.js';
import { shareOfRejections } from './rejection-share.js';

const SEED = 20_261_205;
const CONTACT_MS = 3_000;
const SERVICE_MS = 100;

interface Deployment {
  readonly daemons: number;
  readonly endpoints: number;
  readonly slots: number;
  readonly maxRejections: number;
  readonly hasLoadReports: boolean;
}

const DEPLOYMENTS: readonly Deployment[] = [
  {
    daemons: 3,
    endpoints: 4,
    slots: 6,
    maxRejections: 5,
    hasLoadReports: true,
  },
  {
    daemons: 9,
    endpoints: 4,
    slots: 6,
    maxRejections: 5,
    hasLoadReports: false,
  },
  {
    daemons: 9,
    endpoints: 4,
    slots: 6,
    maxRejections: 12,
    hasLoadReports: false,
  },
  {
    daemons: 9,
    endpoints: 9,
    slots: 48,
    maxRejections: 5,
    hasLoadReports: true,
  },
  {
    daemons: 64,
    endpoints: 20,
    slots: 8,
    maxRejections: 12,
    hasLoadReports: true,
  },
];

function simulate(deployment: Deployment): BrittleSimulation {
  return new BrittleSimulation({
    ...deployment,
    waitingPlaces: 1,
    serviceMs: SERVICE_MS,
    seed: SEED,
  });
}

/** Makes the endpoints brittle under light load, and lets the contact time pass. */
function startBrittleTime(
  simulation: BrittleSimulation,
  { maxRejections }: Deployment,
): void {
  simulation.runUntil(2_000, 0.3);
  simulation.makeBrittle(maxRejections, 2_000 + CONTACT_MS);
  simulation.runUntil(2_000 + CONTACT_MS, 0.3);
}

function nameOf(deployment: Deployment): string {
  const { daemons, endpoints, maxRejections, slots } = deployment;
  return `${daemons} daemons, ${endpoints} endpoints with ${slots} slots that bear ${maxRejections} rejections`;
}

describe('BrittleEndpoints', () => {
  for (const deployment of DEPLOYMENTS) {
    it(`keeps endpoints from falling over under twice their load, one silent, daemons killed and joining: ${nameOf(deployment)}`, () => {
      const simulation = simulate(deployment);
      startBrittleTime(simulation, deployment);
      simulation.runUntil(9_000, 2);
      simulation.silence(0, 1_000);
      simulation.runUntil(11_000, 2);
      simulation.killShare(1 / 3);
      simulation.runUntil(13_000, 2);
      simulation.join();
      simulation.restartKilled();
      simulation.runUntil(17_000, 2);
      const allowed = 2 + Math.floor(deployment.endpoints / 10);
      assert.ok(
        simulation.falls <= allowed,
        `${simulation.falls} endpoints fell over, ${allowed} may`,
      );
    });

    it(`serves what brittle endpoints have room for: ${nameOf(deployment)}`, () => {
      const simulation = simulate(deployment);
      startBrittleTime(simulation, deployment);
      const before = simulation.served;
      const { rejected } = simulation;
      simulation.runUntil(9_000, 0.3);
      const demanded = simulation.capacityPerSecond * 4 * 0.3;
      const servedShare = (simulation.served - before) / demanded;
      assert.ok(servedShare >= 0.95, `${servedShare} served`);
      const rejectedShare = (simulation.rejected - rejected) / demanded;
      assert.ok(rejectedShare <= 0.15, `${rejectedShare} rejected`);
    });
  }

  it('is told of brittle endpoints by peers, also of those that start again, until a response no longer says so', () => {
    let nowMs = 10_000;
    const [own, peer] = ['d0', 'd1'].map(id => create(id, () => nowMs));
    assert.ok(own && peer);
    const first = endpointOf('first', 1);
    const response = { isRejection: false, maxRejectionsPerSecond: 4 };
    peer.recordDispatch(first).recordResponse(response);
    own.applyPeer(peer.hints());
    const full = { running: 4, expectedResponseMs: 50 };
    assert.equal(own.waitMs(first, full), 50);
    assert.equal(own.waitMs(endpointOf('first', 2), full), 50);
    assert.equal(own.waitMs(endpointOf('second', 1), full), 50);
    const elsewhere = { ...endpointOf('third', 1), group: 'engines' };
    assert.equal(own.waitMs(elsewhere, full), 0);
    nowMs += 1_000;
    own.recordDispatch(first).recordResponse({
      isRejection: false,
      maxRejectionsPerSecond: undefined,
    });
    nowMs += 1_000;
    assert.equal(own.waitMs(first, full), 0);
  });

  it('causes no more rejections in a second than its share', () => {
    let nowMs = 10_000;
    const own = create('d0', () => nowMs, ['d0']);
    const endpoint = endpointOf('first', 1);
    const empty = { running: 0, expectedResponseMs: 50 };
    const rejection = { isRejection: true, maxRejectionsPerSecond: 5 };
    own.recordDispatch(endpoint).recordResponse(rejection);
    let rejections = 0;
    for (; nowMs < 12_000; nowMs += 10) {
      if (own.waitMs(endpoint, empty) > 0) continue;
      const dispatch = own.recordDispatch(endpoint);
      dispatch.recordResponse(rejection);
      dispatch.end();
      rejections += 1;
    }
    assert.ok(rejections <= 2 * 4, `${rejections} rejections`);
    assert.ok(rejections >= 4);
  });
});

describe('shareOfRejections', () => {
  it('divides no more than an endpoint bears', () => {
    for (const maxRejections of [0, 1, 2.5, 5, 12, 200]) {
      for (const count of [1, 3, 9, 64]) {
        const ids = Array.from({ length: count }, (_, index) => `d${index}`);
        const sum = ids
          .map(id => shareOfRejections('e', maxRejections, id, ids))
          .reduce((total, { rejections }) => total + rejections, 0);
        assert.ok(sum <= maxRejections);
        assert.ok(sum >= Math.floor(maxRejections * 0.8));
      }
    }
  });
});

function create(
  ownId: string,
  nowMs: () => number,
  ids = ['d0', 'd1'],
): BrittleEndpoints {
  const daemons = new KnownDaemons({ ownId, nowMs, livePeers: () => [] });
  daemons.recordListed(ids);
  const log = noopLog;
  return new BrittleEndpoints({
    ownId,
    nowMs,
    daemons,
    log,
    metrics: noopMetrics,
  });
}

function endpointOf(id: string, bornAtMs: number): EndpointRecord {
  return warmEndpoint(id, { bornAtMs });
}
