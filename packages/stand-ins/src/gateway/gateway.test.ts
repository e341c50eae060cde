import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { Agent, request } from 'undici';

import {
  SAMPLE_HOST,
  SAMPLE_KEY,
  StoreFault,
  WorkerMode,
} from '@skylarkreach/platform/stand-ins';

import { PlatformDeployment } from './platform-deployment.js';

/** Waits in these tests end after this time at the latest. */
const LIMIT_MS = 5_000;

describe('a daemon at the platform’s entry', () => {
  let deployment: PlatformDeployment;
  let address = '';
  let agent: Agent;
  let nextId = 1;

  beforeEach(async () => {
    deployment = new PlatformDeployment();
    await deployment.start();
    await deployment.addWorker('ledger', 'ledger-1');
    await deployment.addWorker('ledger', 'ledger-2');
    await deployment.addWorker('engines', 'engine-1');
    await deployment.addWorker('engines', 'engine-2');
    const { addresses } = await deployment.addGateway('daemon-1');
    address = addresses.callers;
    agent = new Agent();
  });

  afterEach(async () => {
    await agent.destroy();
    await deployment.destroy();
  });

  function send(
    path: string,
    headers: Record<string, string> = {},
    options: { body?: string; signal?: AbortSignal } = {},
  ) {
    const requestId = `request-${nextId}`;
    nextId += 1;
    return request(`http://${address}${path}`, {
      method: options.body === undefined ? 'GET' : 'POST',
      headers: {
        host: SAMPLE_HOST,
        'request-id': requestId,
        key: SAMPLE_KEY,
        'deadline-ms': '1500',
        ...headers,
      },
      body: options.body ?? null,
      signal: options.signal ?? null,
      dispatcher: agent,
    });
  }

  async function statusOf(path: string, headers: Record<string, string> = {}) {
    const { body, statusCode } = await send(path, headers);
    await body.dump();
    return statusCode;
  }

  async function until(condition: () => boolean): Promise<void> {
    const endsAtMs = performance.now() + LIMIT_MS;
    while (!condition()) {
      assert.ok(performance.now() < endsAtMs, 'the condition never held');
      await new Promise(resolve => setTimeout(resolve, 5));
    }
  }

  function runs() {
    return deployment.workers.flatMap(worker => worker.runs);
  }

  it('forwards a body it does not read and returns the answer unchanged', async () => {
    const answer = await send('/postings/a?b=1', {}, { body: '{"c":2}' });
    assert.equal(answer.statusCode, 200);
    assert.match(await answer.body.text(), /^answer of ledger-/);
    assert.match(String(answer.headers['response-signature']), /^signed-by-/);
    const [run] = runs();
    assert.equal(run?.target, '/postings/a?b=1');
    assert.equal(run.body, '{"c":2}');
    assert.equal(run.headers['tenant-id'], 'kowhai');
    assert.equal(run.headers.key, undefined);
    assert.ok(Number(run.headers['deadline-ms']) <= 1_500);
  });

  it('does not let callers set the headers of the system', async () => {
    await statusOf('/lookups/a', {
      'tenant-id': 'another',
      'pin-ms': '1000',
      hold: 'x',
      'kv-from': '10.0.0.1:1/2',
      connection: 'request-id',
    });
    const [run] = runs();
    assert.equal(run?.headers['tenant-id'], 'kowhai');
    assert.equal(run.headers['pin-ms'], undefined);
    assert.equal(run.headers.hold, undefined);
    assert.equal(run.headers['kv-from'], undefined);
    assert.match(run.requestId, /^request-/);
  });

  it('refuses unknown routes and keys', async () => {
    assert.equal(await statusOf('/nowhere/a'), 404);
    assert.equal(await statusOf('/lookups/a', { host: 'other.example' }), 404);
    assert.equal(await statusOf('/lookups/a', { key: 'unknown' }), 401);
    assert.equal(runs().length, 0);
  });

  it('refuses bodies and headers over the configuration’s limits', async () => {
    const large = 'x'.repeat(70_000);
    const body = await send('/postings/a', {}, { body: large });
    assert.equal(body.statusCode, 413);
    await body.body.dump();
    const header = 'x'.repeat(20_000);
    assert.equal(await statusOf('/lookups/a', { 'x-large': header }), 431);
    assert.equal(runs().length, 0);
  });

  it('answers 408 to headers that take too long', async () => {
    const text = await exchange('GET /lookups/a HTTP/1.1\r\nHost: a\r\n');
    assert.match(text, /^HTTP\/1\.1 408 /);
  });

  it('answers 408 to a body that takes too long, and sends none of it on', async () => {
    const text = await exchange(
      [
        'POST /postings/a HTTP/1.1',
        `Host: ${SAMPLE_HOST}`,
        'Request-Id: slow',
        `Key: ${SAMPLE_KEY}`,
        'Content-Length: 10',
        '',
        'half',
      ].join('\r\n'),
    );
    assert.match(text, /^HTTP\/1\.1 408 /);
    assert.match(text, /connection: close/i);
    assert.equal(runs().length, 0);
  });

  it('refuses framing that could smuggle a request and closes the connection', async () => {
    const text = await exchange(
      [
        `POST /postings/a HTTP/1.1`,
        `Host: ${SAMPLE_HOST}`,
        'Request-Id: smuggled',
        `Key: ${SAMPLE_KEY}`,
        'Content-Length: 4',
        'Transfer-Encoding: chunked',
        '',
        '0',
        '',
        `GET /lookups/b HTTP/1.1`,
        '',
        '',
      ].join('\r\n'),
    );
    assert.match(text, /^HTTP\/1\.1 400 /);
    assert.equal(runs().length, 0);
  });

  it('repeats a look-up elsewhere when an answer is lost', async () => {
    const [first, second] = deployment.workers;
    if (first !== undefined) first.mode = WorkerMode.LosesAnswers;
    if (second !== undefined) second.mode = WorkerMode.Answers;
    for (let count = 0; count < 6; count += 1) {
      assert.equal(await statusOf(`/lookups/${count}`), 200);
    }
  });

  it('sends a posting once, whatever happens to its answer', async () => {
    for (const worker of deployment.workers) {
      worker.mode = WorkerMode.LosesAnswers;
    }
    const answer = await send('/postings/a', {}, { body: '{}' });
    assert.equal(answer.statusCode, 502);
    assert.equal(answer.headers['retry-after'], undefined);
    assert.equal(runs().length, 1);
  });

  it('tells a caller when to come back where nothing ran', async () => {
    for (const worker of deployment.workers) worker.mode = WorkerMode.Sheds;
    const answer = await send('/postings/a', {}, { body: '{}' });
    assert.equal(answer.statusCode, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
    assert.equal(runs().length, 0);
  });

  it('does not hand on an answer that belongs to another request', async () => {
    for (const worker of deployment.workers) worker.mode = WorkerMode.MixesUp;
    const answer = await send('/postings/a', {}, { body: '{}' });
    assert.equal(answer.statusCode, 502);
  });

  it('takes an answer without a length for whole only where its connection is not reset', async () => {
    for (const worker of deployment.workers) {
      worker.mode = WorkerMode.EndsUnframed;
    }
    const whole = await send('/postings/a', {}, { body: '{}' });
    assert.equal(whole.statusCode, 200);
    assert.equal(await whole.body.text(), 'first part and the rest');
    // It ends with the connection here too: nobody can tell whether it is whole.
    assert.equal(whole.headers['transfer-encoding'], undefined);
    assert.equal(whole.headers['content-length'], undefined);
    assert.equal(whole.headers.connection, 'close');
    for (const worker of deployment.workers) {
      worker.mode = WorkerMode.ResetsUnframed;
    }
    const cut = await send('/postings/b', {}, { body: '{}' });
    assert.equal(cut.statusCode, 502);
    await cut.body.dump();
  });

  it('gives the final answer at the route’s timeout', async () => {
    for (const worker of deployment.workers) worker.mode = WorkerMode.Hangs;
    const answer = await send(
      '/postings/a',
      { 'deadline-ms': '300' },
      { body: '{}' },
    );
    assert.equal(answer.statusCode, 504);
  });

  it('cancels at the worker when the caller leaves', async () => {
    for (const worker of deployment.workers) worker.mode = WorkerMode.Hangs;
    const leaving = new AbortController();
    const sent = send(
      '/postings/a',
      {},
      { body: '{}', signal: leaving.signal },
    );
    await until(() => runs().length === 1);
    leaving.abort();
    await assert.rejects(sent);
    await until(() => deployment.workers.some(each => each.dropped.length > 0));
  });

  it('goes on with a broken stream after its last whole event', async () => {
    const [, , first, second] = deployment.workers;
    if (first !== undefined) first.mode = WorkerMode.BreaksStreams;
    if (second !== undefined) second.mode = WorkerMode.BreaksStreams;
    const { body, statusCode } = await send('/drafts/a', {
      model: 'm',
      'token-usage': '100,20',
      'prompt-prefix': 'aa:60,bb:40',
      'deadline-ms': '8000',
    });
    assert.equal(statusCode, 200);
    const ids = [...(await body.text()).matchAll(/id: (\d+)/g)].map(each =>
      Number(each[1]),
    );
    assert.deepEqual(ids, [1, 2, 3, 4]);
    const resumedAfter = runs().map(run => run.headers['last-event-id']);
    assert.deepEqual(resumedAfter.sort(), ['2', undefined]);
  });

  it('takes a new configuration within the bound and never an older one', async () => {
    const [running] = deployment.gateways;
    const versionOf = () => running?.gateway.wiring.configuration.version;
    deployment.configure(5);
    await until(() => versionOf() === 5);
    deployment.configure(3);
    deployment.store.state.put('op/config', 'not JSON');
    deployment.store.state.put('op/rollout/x', '{}');
    await until(() => (deployment.store.calls.get('/-/kv-watch') ?? 0) >= 4);
    assert.equal(versionOf(), 5);
    assert.equal(await statusOf('/lookups/a'), 200);
  });

  it('sends nothing new to a worker that drains, and skips entries it cannot read', async () => {
    const draining = deployment.workers[0];
    const { state } = deployment.store;
    const entry = state.get('servers/ledger-1');
    const value = Buffer.from(entry?.Value ?? '', 'base64').toString('utf8');
    state.put('servers/ledger-1', value.replace('ready', 'draining'));
    state.put('servers/broken', '{"Service":1}');
    const pool = deployment.gateways[0]?.gateway.wiring.pool;
    await until(() => pool?.ready('ledger', performance.now()).length === 1);
    const before = draining?.runs.length;
    for (let count = 0; count < 8; count += 1) {
      assert.equal(await statusOf(`/lookups/${count}`), 200);
    }
    assert.equal(draining?.runs.length, before);
  });

  it('keeps serving while the store refuses it and hears a peer’s news', async () => {
    const other = await deployment.addGateway('daemon-2');
    const first = deployment.gateways[0];
    const members = first?.gateway.wiring.cluster.membership;
    await until(() => members?.live().length === 1);
    deployment.store.fault = StoreFault.Refuses;
    assert.equal(await statusOf('/lookups/a'), 200);
    // News that one daemon has read reaches the other by itself.
    const { configuration, cluster } = other.gateway.wiring;
    const next = { ...configuration.current, version: 9 };
    void cluster.membership.publish({
      key: 'configuration',
      version: 9,
      value: JSON.stringify(next),
    });
    await until(() => first?.gateway.wiring.configuration.version === 9);
  });

  it('reports usage once a window and orders endpoints as one holder', async () => {
    assert.equal(await statusOf('/lookups/a'), 200);
    await until(() =>
      deployment.cloud.calls.some(call => call.path === '/scaling'),
    );
    const holders = new Set(deployment.cloud.calls.map(call => call.holder));
    assert.deepEqual([...holders], ['daemon-1']);
  });

  it('is not ready once it leaves, and ends the answers in progress', async () => {
    const [running] = deployment.gateways;
    const readiness = running?.addresses.readiness ?? '';
    const ready = await request(`http://${readiness}/ready`);
    await ready.body.dump();
    assert.equal(ready.statusCode, 200);
    const stream = await send('/drafts/a', {
      model: 'm',
      'token-usage': '100,20',
      'prompt-prefix': 'aa:60,bb:40',
      'deadline-ms': '8000',
    });
    const stopped = running?.gateway.stop();
    const unready = await request(`http://${readiness}/ready`);
    await unready.body.dump();
    assert.equal(unready.statusCode, 503);
    assert.match(await stream.body.text(), /id: 4/);
    const late = await send('/lookups/late');
    await late.body.dump();
    assert.equal(late.statusCode, 200);
    assert.equal(late.headers.connection, 'close');
    await stopped;
  });

  it('serves its metrics as text', async () => {
    assert.equal(await statusOf('/lookups/a'), 200);
    const { addresses } = deployment.gateways[0] ?? {};
    const answer = await request(`http://${addresses?.metrics ?? ''}/metrics`);
    const text = await answer.body.text();
    assert.match(text, /skylarkreach_requests_total\{outcome="answered"\} 1/);
    assert.match(text, /skylarkreach_request_duration_ms_bucket/);
  });

  /** Sends raw bytes and returns what comes back until the connection ends. */
  function exchange(text: string): Promise<string> {
    const [host = '', port] = address.split(':');
    return new Promise((resolve, reject) => {
      const socket = connect(Number(port), host);
      let received = '';
      socket.on('data', chunk => {
        received += chunk.toString('latin1');
      });
      socket.on('end', () => {
        resolve(received);
      });
      socket.on('error', reject);
      socket.write(text);
    });
  }
});
