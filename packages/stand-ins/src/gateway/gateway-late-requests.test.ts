import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import type { SampleConfigurationOptions } from '@skylarkreach/platform/stand-ins';
import { sampleCall } from '@skylarkreach/platform/stand-ins';

import type { RunningGateway } from './gateway-deployment.js';
import { GatewayDeployment } from './gateway-deployment.js';
import { rawRequest } from './gateway-fixture.js';

/** Time limit of plain requests that may last beyond the end of the grace period of 8 s. */
const LONG_MS = 6_000;
/** Time limit of plain requests that end early. */
const SHORT_MS = 1_500;
const STREAM_MS = 8_000;
/** Time for which a stopping daemon may still get new requests from the load balancer. */
const ROUTED_MS = 3_000;

/** Start of the last sixth of the grace period, in which streams may be cut. */
const LAST_SIXTH_MS = 6_667;
const SWEEP_REQUESTS = 75;
const SWEEP_GAP_MS = 100;
const SWEEP_LIMITS_MS = [STREAM_MS, LONG_MS, SHORT_MS];

/** Time for which callers may hold a connection without a request. */
const CALLER_TIMEOUTS = { headerTimeoutMs: 15_000, idleTimeoutMs: 15_000 };

interface StopScenario extends SampleConfigurationOptions {
  /** Time for which endpoints run a plain request; a stream takes ten times that. */
  readonly runMs: number;
}

/** Connection of a caller, and what was received on it. */
class CallerConnection {
  text = '';
  closedAtMs = Infinity;
  readonly closed: Promise<void>;

  private constructor(private readonly socket: Socket) {
    socket.on('data', chunk => {
      this.text += chunk.toString('latin1');
    });
    socket.on('error', () => undefined); // a reset shows in what is missing
    this.closed = once(socket, 'close').then(() => {
      this.closedAtMs = performance.now();
    });
  }

  static async open(address: string): Promise<CallerConnection> {
    const [host, port] = address.split(':');
    const socket = connect(Number(port), host);
    await once(socket, 'connect');
    return new CallerConnection(socket);
  }

  send(text: string): void {
    this.socket.write(text);
  }

  /** Sends a request of a stream or a posting. */
  request(id: string, limitMs: number): void {
    const call = sampleCall(id, limitMs, limitMs === STREAM_MS);
    const path = limitMs === STREAM_MS ? call.path : `/postings/${id}`;
    this.send(rawRequest({ ...call, path }));
  }

  /** Sends the head of a posting with a body of four bytes, and the first two. */
  beginUpload(id: string, limitMs: number): void {
    const head = rawRequest({
      ...sampleCall(id, limitMs, false),
      path: `/postings/${id}`,
    });
    const asPost = head.replace('GET', 'POST').slice(0, -2);
    this.send(`${asPost}content-length: 4\r\n\r\nab`);
  }

  destroy(): void {
    this.socket.destroy();
  }

  /** Asserts complete answers to requests with these ids, in this order. */
  assertAnswered(ids: readonly string[]): void {
    const answers = this.text.matchAll(
      /HTTP\/1.1 200 OK\r\nrequest-id: (\w+)\r\n.*?answer of ledger-1/gs,
    );
    assert.deepEqual(
      Array.from(answers, ([, id]) => id),
      ids,
    );
  }

  assertStatus(status: number): void {
    assert.match(this.text, new RegExp(`^HTTP/1.1 ${status} `));
  }

  /** Asserts a complete refusal after which the caller goes to another daemon at once. */
  assertRefused(): void {
    this.assertStatus(503);
    assert.match(this.text, /retry-after: 0\.000\r\n/i);
    assert.match(this.text, /connection: close\r\n/i);
    assert.match(this.text, /"kind":"stopping".*\}$/s);
  }
}

/** Runs a scenario with a gateway and an endpoint of each group. */
async function withGateway(
  { runMs, ...configuration }: StopScenario,
  act: (
    running: RunningGateway,
    runsOf: (id: string) => number,
  ) => Promise<void>,
): Promise<void> {
  const deployment = new GatewayDeployment();
  try {
    await deployment.start();
    const options = { ...CALLER_TIMEOUTS, ...configuration };
    deployment.writeConfiguration(2, options);
    const stream = { events: 10, eventGapMs: runMs };
    await deployment.addEndpoint('engines', 'engine-1', stream);
    await deployment.addEndpoint('ledger', 'ledger-1', { plainRunMs: runMs });
    const running = await deployment.addGateway('daemon-1');
    await act(running, id => {
      const runs = deployment.endpoints.flatMap(endpoint => endpoint.runs);
      return runs.filter(({ requestId }) => requestId === id).length;
    });
  } finally {
    await deployment.destroy();
  }
}

async function openMany(
  { addresses }: RunningGateway,
  count: number,
): Promise<CallerConnection[]> {
  return Promise.all(
    Array.from({ length: count }, () =>
      CallerConnection.open(addresses.callers),
    ),
  );
}

describe('a request late in a planned stop', { concurrency: true }, () => {
  it('is not passed on if it could be cut at the end of the grace period', () =>
    withGateway(
      { runMs: 4_000, plainTimeoutMs: LONG_MS },
      async (running, runsOf) => {
        const [stream, posting, upload] = await openMany(running, 3);
        assert.ok(stream && posting && upload);
        const stopped = running.gateway.stop();
        await delay(ROUTED_MS - 1_000);
        upload.beginUpload('upload', LONG_MS);
        await delay(1_200);
        stream.request('stream', STREAM_MS);
        posting.request('posting', LONG_MS);
        upload.send('cd');
        await Promise.all([stream.closed, posting.closed, upload.closed]);
        await stopped;
        stream.assertRefused();
        posting.assertRefused();
        upload.assertRefused();
        assert.deepEqual(
          ['stream', 'posting', 'upload'].map(runsOf),
          [0, 0, 0],
        );
      },
    ));

  it('is served if its own time limit ends it before', () =>
    withGateway({ runMs: 600 }, async (running, runsOf) => {
      const [stream, posting] = await openMany(running, 2);
      assert.ok(stream && posting);
      stream.request('stream', STREAM_MS);
      await delay(100);
      const stopped = running.gateway.stop();
      await delay(5_000);
      posting.request('posting', SHORT_MS);
      await Promise.all([stream.closed, posting.closed, stopped]);
      posting.assertStatus(200);
      assert.equal(runsOf('posting'), 1);
      stream.assertStatus(200);
      assert.match(stream.text, /id: 10/);
    }));

  it('gets a complete answer at the end of the grace period if an endpoint is still at work on it', () =>
    withGateway(
      { runMs: 20_000, plainTimeoutMs: 9_000 },
      async (running, runsOf) => {
        const [posting, stream, upload] = await openMany(running, 3);
        assert.ok(posting && stream && upload);
        const stopped = running.gateway.stop();
        await delay(1_000);
        posting.request('posting', 9_000);
        upload.beginUpload('upload', 9_000);
        await Promise.all([posting.closed, upload.closed]);
        await stopped;
        posting.assertStatus(502);
        assert.doesNotMatch(posting.text, /retry-after/i);
        assert.match(posting.text, /\}$/);
        upload.assertRefused();
        assert.deepEqual(['posting', 'upload'].map(runsOf), [1, 0]);
      },
    ));

  it('is whole, not run, or a stream of the first seconds, whenever it arrives', () =>
    withGateway(
      { runMs: 600, plainTimeoutMs: LONG_MS },
      async (running, runsOf) => {
        const connections = await openMany(running, SWEEP_REQUESTS);
        const stopAtMs = performance.now();
        const stopped = running.gateway.stop();
        for (const [index, connection] of connections.entries()) {
          await delay(stopAtMs + index * SWEEP_GAP_MS - performance.now());
          const limitMs = SWEEP_LIMITS_MS[index % SWEEP_LIMITS_MS.length];
          connection.request(`sent-${index}`, limitMs ?? SHORT_MS);
        }
        await stopped;
        await Promise.all(connections.map(({ closed }) => closed));
        const statuses = connections.map(({ text }) => text.slice(9, 12));
        for (const [index, { closedAtMs, text }] of connections.entries()) {
          const runs = runsOf(`sent-${index}`);
          const isWhole = /(answer of ledger-1|id: 10\n|\}$)/.test(text);
          const mayBeCut =
            index * SWEEP_GAP_MS <= ROUTED_MS &&
            closedAtMs - stopAtMs >= LAST_SIXTH_MS;
          assert.equal(runs, text.startsWith('HTTP/1.1 200') ? 1 : 0);
          assert.ok(
            runs === 0 || isWhole || mayBeCut,
            `sent-${index}: ${text}`,
          );
        }
        assert.ok(statuses.includes('200') && statuses.includes('503'));
      },
    ));

  it('is answered if it follows another one on its connection', () =>
    withGateway({ runMs: 400 }, async (running, runsOf) => {
      const [before, across, after] = await openMany(running, 3);
      assert.ok(before && across && after);
      before.request('first', SHORT_MS);
      before.request('second', SHORT_MS);
      across.request('third', SHORT_MS);
      await delay(100);
      const stopped = running.gateway.stop();
      after.request('fifth', SHORT_MS);
      await delay(100);
      across.request('fourth', SHORT_MS);
      after.request('sixth', SHORT_MS);
      await Promise.all([before.closed, across.closed, after.closed]);
      await stopped;
      before.assertAnswered(['first', 'second']);
      across.assertAnswered(['third', 'fourth']);
      after.assertAnswered(['fifth', 'sixth']);
      const ids = ['first', 'second', 'third', 'fourth', 'fifth', 'sixth'];
      assert.deepEqual(ids.map(runsOf), [1, 1, 1, 1, 1, 1]);
    }));

  it('is not passed on if its caller left while it waited for another one on its connection', () =>
    withGateway({ runMs: 600 }, async (running, runsOf) => {
      const [connection] = await openMany(running, 1);
      assert.ok(connection);
      connection.request('first', SHORT_MS);
      connection.request('second', SHORT_MS);
      await delay(200);
      connection.destroy();
      const stopRequestedAtMs = performance.now();
      await running.gateway.stop();
      const stoppedAfterMs = performance.now() - stopRequestedAtMs;
      assert.equal(runsOf('second'), 0);
      assert.ok(
        stoppedAfterMs < ROUTED_MS,
        `stopped after ${stoppedAfterMs} ms`,
      );
    }));
});
