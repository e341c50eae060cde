import type { Dispatcher } from 'undici';
import { request } from 'undici';

import type { EndpointRecord, PoolQuery } from '@skylarkreach/core/forwarding';
import {
  AttemptVerdict,
  EndpointPool,
  EndpointState,
  LeavingEndpoints,
  PausedEndpoints,
  UNGUARDED,
  UNLIMITED,
} from '@skylarkreach/core/forwarding';
import type { DaemonHints } from '@skylarkreach/core/hints';
import { HintStore } from '@skylarkreach/core/hints';
import { noopLog, noopMetrics, SeededRandom } from '@skylarkreach/core/ports';
import { GatewayDeployment, sampleCall } from '@skylarkreach/stand-ins';

import type { Point } from '../experiment/index.js';
import type { SendRequest } from './added-cpu-micros.js';
import { measureAddedCpuMicros } from './added-cpu-micros.js';
import type { Probe } from './probe.js';
import { minStepMicros } from './probe.js';

const REQUEST_COUNTS = [200, 400, 600, 800];
const STREAM_COUNTS = [20, 40, 60, 80];
const STREAM_EVENTS = 50;
const ENDPOINT_COUNTS = [16, 64, 256, 1_024];
const DAEMON_COUNTS = [9, 50, 150, 300];
/** Endpoints that serve requests of one daemon. */
const BUSY_ENDPOINT_COUNT = 8;
const CHOICES_PER_STEP = 200;
const DEADLINE_MS = 10_000;
const GROUP = 'engines';

/** CPU time that the gateway adds to a plain request, compared with a direct one. */
export const gatewayRequestProbe: Probe = {
  name: 'gateway request',
  unit: 'µs a request',
  sizeName: 'requests',
  run: () =>
    withPlatform(
      (worker, gateway) =>
        measureAddedCpuMicros(
          REQUEST_COUNTS,
          plainSender(worker),
          plainSender(gateway),
        ),
      'ledger',
    ),
};

/** CPU time that the gateway adds to an event of a stream, compared with a direct stream. */
export const gatewayEventProbe: Probe = {
  name: 'gateway event',
  unit: 'µs an event',
  sizeName: 'events',
  run: () =>
    withPlatform(
      (worker, gateway) =>
        measureAddedCpuMicros(
          STREAM_COUNTS,
          streamSender(worker),
          streamSender(gateway),
        ),
      GROUP,
    ),
};

/** Time to select an endpoint, by number of endpoints in the group. */
export const endpointChoiceProbe: Probe = {
  name: 'endpoint choice',
  unit: 'µs a request an endpoint',
  sizeName: 'endpoints',
  run: seed =>
    Promise.resolve(
      ENDPOINT_COUNTS.map(x => ({ x, y: endpointChoiceMicros(x, seed) })),
    ),
};

/** Size of a daemon's hints message in bytes, by number of endpoints that serve its requests. */
export const hintSizeProbe: Probe = {
  name: 'hint size',
  unit: 'bytes a message a busy endpoint',
  sizeName: 'busy endpoints',
  run: () =>
    Promise.resolve(
      ENDPOINT_COUNTS.map(x => {
        const message = JSON.stringify(createHints(1, x));
        return { x, y: Buffer.byteLength(message) };
      }),
    ),
};

/** Time to store the hints of one daemon, by number of daemons with recent hints. */
export const hintAddProbe: Probe = {
  name: 'hint take',
  unit: 'µs a message a daemon',
  sizeName: 'daemons',
  run: () =>
    Promise.resolve(DAEMON_COUNTS.map(x => ({ x, y: addHintsMicros(x) }))),
};

async function withPlatform(
  probe: (worker: string, gateway: string) => Promise<readonly Point[]>,
  service: string,
): Promise<readonly Point[]> {
  const deployment = new GatewayDeployment();
  await deployment.start();
  try {
    const worker = await deployment.addEndpoint(service, 'worker-1', {
      events: STREAM_EVENTS,
      eventGapMs: 1,
    });
    const { addresses } = await deployment.addGateway('daemon-1');
    return await probe(worker.address, addresses.callers);
  } finally {
    await deployment.destroy();
  }
}

function plainSender(address: string): SendRequest {
  return async (dispatcher, index) => {
    await fetchText(address, dispatcher, `plain-${index}`, false);
    return 1;
  };
}

function streamSender(address: string): SendRequest {
  return async (dispatcher, index) => {
    const text = await fetchText(address, dispatcher, `stream-${index}`, true);
    return text.split('\n\n').length - 1;
  };
}

async function fetchText(
  address: string,
  dispatcher: Dispatcher,
  requestId: string,
  isStream: boolean,
): Promise<string> {
  const { headers, path } = sampleCall(requestId, DEADLINE_MS, isStream);
  const { body, statusCode } = await request(`http://${address}${path}`, {
    headers,
    dispatcher,
  });
  const text = await body.text();
  if (statusCode === 200) return text;
  throw new Error(
    `${path} returned status ${statusCode}; check that its route is configured.`,
  );
}

function endpointChoiceMicros(endpoints: number, seed: number): number {
  const pool = new EndpointPool(new SeededRandom(seed), {
    dataCentre: 'dc-0',
    prefillTokensPerMs: 90,
    timeMs: () => 0,
    engineMemoryTokens: () => undefined,
    limiter: UNLIMITED,
    paused: new PausedEndpoints({
      nowMs: () => 0,
      log: noopLog,
      metrics: noopMetrics,
    }),
    leaving: new LeavingEndpoints({
      nowMs: () => 0,
      log: noopLog,
      metrics: noopMetrics,
    }),
    overloadGuard: UNGUARDED,
  });
  pool.apply({
    revision: 1,
    endpoints: Array.from({ length: endpoints }, (_, index) =>
      createEndpointRecord(index),
    ),
  });
  let request = 0;
  const micros = minStepMicros(() => {
    for (let choice = 0; choice < CHOICES_PER_STEP; choice += 1) {
      request += 1;
      const ticket = pool.reserve(createQuery(request), request);
      ticket?.release(AttemptVerdict.Succeeded, request);
    }
  }, 5);
  return micros / CHOICES_PER_STEP;
}

function createQuery(request: number): PoolQuery {
  return {
    group: GROUP,
    excluded: new Set(),
    promptParts: [
      { id: `shared-${request % 50}`, tokens: 4_000 },
      { id: `own-${request}`, tokens: 300 },
    ],
    promptTokens: 4_300,
  };
}

function createEndpointRecord(index: number): EndpointRecord {
  return {
    id: `endpoint-${index}`,
    address: `10.0.${index >> 8}.${index & 255}:80`,
    group: GROUP,
    dataCentre: `dc-${index % 16}`,
    version: 'v1',
    slots: 48,
    state: EndpointState.Ready,
    coldRemainingMs: 0,
    isReclaimable: true,
    leavesInMs: undefined,
    bornAtMs: undefined,
  };
}

function addHintsMicros(daemons: number): number {
  const store = new HintStore();
  let sequence = 0;
  const addHintsFrom = (daemon: number) => {
    sequence += 1;
    store.add(
      { ...createHints(daemon, BUSY_ENDPOINT_COUNT), sequence },
      sequence / daemons,
    );
  };
  for (let daemon = 0; daemon < daemons; daemon += 1) addHintsFrom(daemon);
  return minStepMicros(() => {
    addHintsFrom(sequence % daemons);
    store.work(sequence / daemons);
  }, 200);
}

function createHints(daemon: number, busyEndpoints: number): DaemonHints {
  const work = Array.from({ length: busyEndpoints }, (_, index) => {
    const id = (daemon * busyEndpoints + index).toString(16).padStart(10, '0');
    return [`i-${id}`, { running: 3, backlogTokens: 4_300 }] as const;
  });
  return {
    daemonId: `daemon-${daemon}`,
    lifetime: `daemon-${daemon}/1`,
    sequence: 1,
    ageMs: 60_000,
    wallMs: 1_777_645_740_000,
    work: Object.fromEntries(work),
    grantedTokens: { 'workspace-1': 120_000, 'workspace-2': 80_000 },
    usage: [{ windowId: 355_529_148, counts: { 'workspace-1': 412 } }],
    endpointReadAgeMs: 400,
    endpointsVersion: 812,
    rollouts: [],
    holdsDuties: false,
  };
}
