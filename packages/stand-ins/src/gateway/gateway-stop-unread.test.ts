import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { describe, it } from 'node:test';
import {
  setImmediate as afterPoll,
  setTimeout as delay,
} from 'node:timers/promises';
import { Worker } from 'node:worker_threads';

import { sampleCall } from '@skylarkreach/platform/stand-ins';

import type { RunningGateway } from './gateway-deployment.js';
import { GatewayDeployment } from './gateway-deployment.js';
import { rawRequest, stall } from './gateway-fixture.js';
import { RawCaller } from './raw-caller.js';
import type {
  CallerResult,
  SendOrder,
  StopCallersOptions,
} from './stop-callers.js';

const CALLERS = 150;
const STALL_MS = 300;
/** Time from SIGTERM until the load balancer has noticed it. */
const ROUTED_MS = 2_500;
/** Time from SIGTERM until answers in progress are ended. */
const CUTOFF_MS = 7_000;
const EVENT_GAP_MS = 600;
/** Streams that end after the load balancer has noticed the stop. */
const EVENTS = 6;
/** Streams that go on until they are ended. */
const ENDLESS_EVENTS = 13;
/** Time after the last answer at which the rest of a request comes. */
const REST_AFTER_MS = 700;
/** Time in which a daemon ends after its last answer. */
const END_MS = 1_000;
/** Times in which callers may hold a connection without a request, and requests be answered on a busy machine. */
const LONG_TIMEOUTS = {
  headerTimeoutMs: 15_000,
  idleTimeoutMs: 15_000,
  plainTimeoutMs: 3_000,
};

/** Stall beside a stop; times count from SIGTERM. */
interface StopMoment {
  readonly name: string;
  readonly stallAtMs: number;
  /** Length of a stream that is in progress. */
  readonly events?: number;
}

const MOMENTS: readonly StopMoment[] = [
  { name: 'begins', stallAtMs: 0 },
  {
    name: 'is noticed by the load balancer, with no answer in progress',
    stallAtMs: ROUTED_MS - STALL_MS / 3,
  },
  {
    name: 'is noticed by the load balancer, with an answer in progress',
    stallAtMs: ROUTED_MS - STALL_MS / 3,
    events: EVENTS,
  },
  {
    name: 'comes to its last answer',
    stallAtMs: EVENTS * EVENT_GAP_MS - STALL_MS / 3,
    events: EVENTS,
  },
  {
    name: 'comes to the end of the grace period',
    stallAtMs: CUTOFF_MS - STALL_MS / 3,
    events: ENDLESS_EVENTS,
  },
];

async function withGateway(
  events: number,
  act: (
    running: RunningGateway,
    runsOf: (id: string) => number,
  ) => Promise<void>,
): Promise<void> {
  const deployment = new GatewayDeployment();
  try {
    await deployment.start();
    deployment.writeConfiguration(2, LONG_TIMEOUTS);
    const stream = { events, eventGapMs: EVENT_GAP_MS };
    await deployment.addEndpoint('engines', 'engine-1', stream);
    await deployment.addEndpoint('ledger', 'ledger-1', { silentForMs: 0 });
    const running = await deployment.addGateway('daemon-1');
    await act(running, id => {
      const runs = deployment.endpoints.flatMap(endpoint => endpoint.runs);
      return runs.filter(({ requestId }) => requestId === id).length;
    });
  } finally {
    await deployment.destroy();
  }
}

/** Opens a connection and starts a stream on it; returns the text received so far. */
async function startStream({ addresses }: RunningGateway) {
  const [host, port] = addresses.callers.split(':');
  const socket = connect(Number(port), host);
  let received = '';
  let receivedAtMs = 0;
  socket.on('data', chunk => {
    received += chunk.toString('latin1');
    receivedAtMs = Date.now();
  });
  socket.on('error', () => undefined); // a reset shows in what is missing
  socket.write(rawRequest(sampleCall('stream', 8_000, true)));
  await once(socket, 'data');
  return { socket, received: () => received, receivedAtMs: () => receivedAtMs };
}

/** Whether a request got a whole answer, or a whole refusal after which its caller goes elsewhere at once. */
function isSettled({ text }: CallerResult, runs: number): boolean {
  if (runs === 1) return /^HTTP\/1\.1 200 .*answer of ledger-1/s.test(text);
  return (
    runs === 0 &&
    /^HTTP\/1\.1 503 .*retry-after: 0\.000\r\n.*\}$/is.test(text) &&
    /connection: close\r\n/i.test(text)
  );
}

describe('a gateway that stops while its event loop is held up', () => {
  for (const [index, { events, name, stallAtMs }] of MOMENTS.entries()) {
    it(`settles the requests that it has not read when the stop ${name}`, () =>
      withGateway(events ?? EVENTS, async (running, runsOf) => {
        const options: StopCallersOptions = {
          address: running.addresses.callers,
          seed: index + 1,
          count: CALLERS,
        };
        const callers = new Worker(
          new URL('stop-callers.js', import.meta.url),
          { workerData: options },
        );
        await once(callers, 'message');
        const stream =
          events === undefined ? undefined : await startStream(running);
        const routedUntilMs = Date.now() + ROUTED_MS;
        const stopped = running.gateway.stop().then(() => Date.now());
        await delay(stallAtMs);
        // Timers run before the next poll if the stall ends here.
        await afterPoll();
        const order: SendOrder = { withinMs: STALL_MS / 2 };
        callers.postMessage(order);
        stall(STALL_MS);
        const [results] = (await once(callers, 'message')) as [CallerResult[]];
        const stoppedAtMs = await stopped;
        stream?.socket.destroy();
        const lost = results
          .filter(({ wasSent }) => wasSent)
          .filter(result => !isSettled(result, runsOf(result.id)))
          .map(({ id, text }) => `${id}: ${text}`);
        assert.equal(lost.length, 0, `${lost.length} lost: ${lost.join(', ')}`);
        assert.ok(results.filter(({ wasSent }) => wasSent).length >= CALLERS);
        const lastAnswerAtMs = Math.max(
          routedUntilMs,
          stream?.receivedAtMs() ?? 0,
          ...results.map(({ receivedAtMs }) => receivedAtMs),
        );
        const endedAfterMs = stoppedAtMs - lastAnswerAtMs;
        assert.ok(endedAfterMs < END_MS, `ended after ${endedAfterMs} ms`);
      }));
  }

  it('settles a request of which the rest comes after the last answer', () =>
    withGateway(EVENTS, async running => {
      const caller = await RawCaller.open(running.addresses.callers);
      const text = rawRequest(sampleCall('parts', 1_500, false));
      const stopped = running.gateway.stop();
      await delay(ROUTED_MS - STALL_MS);
      caller.send(text.slice(0, 20));
      await delay(STALL_MS + REST_AFTER_MS);
      caller.send(text.slice(20));
      await stopped;
      caller.destroy();
      assert.match(caller.text, /^HTTP\/1\.1 503 .*connection: close\r\n/is);
    }));

  it('answers the next request on a connection whose response began before the stop', () =>
    withGateway(EVENTS, async (running, runsOf) => {
      const { received, socket } = await startStream(running);
      const stopped = running.gateway.stop();
      socket.on('data', chunk => {
        if (!chunk.toString('latin1').endsWith('0\r\n\r\n')) return;
        socket.write(rawRequest(sampleCall('next', 1_500, false)));
      });
      await Promise.all([once(socket, 'close'), stopped]);
      assert.match(
        received(),
        /id: 6\n.*HTTP\/1\.1 (200|503) .*connection: close/s,
      );
      assert.equal(
        runsOf('next'),
        received().includes('HTTP/1.1 200 OK\r\nrequest-id: next') ? 1 : 0,
      );
    }));
});
