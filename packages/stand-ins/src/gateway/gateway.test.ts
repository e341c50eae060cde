import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { request } from 'undici';

import { SAMPLE_HOST, SAMPLE_KEY } from '@skylarkreach/platform/stand-ins';

import { GatewayBench } from './gateway-bench.js';

describe('a request at the platform’s entry', () => {
  let bench: GatewayBench;

  beforeEach(async () => {
    bench = new GatewayBench();
    await bench.start();
  });

  afterEach(async () => {
    await bench.stop();
  });

  it('forwards a body it does not read and returns the answer unchanged', async () => {
    const answer = await bench.send('/postings/a?b=1', {}, { body: '{"c":2}' });
    assert.equal(answer.statusCode, 200);
    assert.match(await answer.body.text(), /^answer of ledger-/);
    assert.match(String(answer.headers['response-signature']), /^signed-by-/);
    const [run] = bench.runs();
    assert.equal(run?.target, '/postings/a?b=1');
    assert.equal(run.body, '{"c":2}');
    assert.equal(run.headers['tenant-id'], 'kowhai');
    assert.equal(run.headers.key, undefined);
    assert.ok(Number(run.headers['deadline-ms']) <= 1_500);
  });

  it('does not let callers set the headers of the system', async () => {
    await bench.statusOf('/lookups/a', {
      'tenant-id': 'another',
      'pin-ms': '1000',
      hold: 'x',
      'kv-from': '10.0.0.1:1/2',
      connection: 'request-id',
    });
    const [run] = bench.runs();
    assert.equal(run?.headers['tenant-id'], 'kowhai');
    assert.equal(run.headers['pin-ms'], undefined);
    assert.equal(run.headers.hold, undefined);
    assert.equal(run.headers['kv-from'], undefined);
    assert.match(run.requestId, /^request-/);
  });

  it('refuses unknown routes and keys', async () => {
    assert.equal(await bench.statusOf('/nowhere/a'), 404);
    assert.equal(
      await bench.statusOf('/lookups/a', { host: 'other.example' }),
      404,
    );
    assert.equal(await bench.statusOf('/lookups/a', { key: 'unknown' }), 401);
    assert.equal(bench.runs().length, 0);
  });

  it('refuses bodies and headers over the configuration’s limits', async () => {
    const large = 'x'.repeat(70_000);
    const body = await bench.send('/postings/a', {}, { body: large });
    assert.equal(body.statusCode, 413);
    await body.body.dump();
    const header = 'x'.repeat(20_000);
    assert.equal(
      await bench.statusOf('/lookups/a', { 'x-large': header }),
      431,
    );
    assert.equal(bench.runs().length, 0);
  });

  it('answers 408 to headers that take too long', async () => {
    const text = await bench.exchange('GET /lookups/a HTTP/1.1\r\nHost: a\r\n');
    assert.match(text, /^HTTP\/1\.1 408 /);
  });

  it('answers 408 to a body that takes too long, and sends none of it on', async () => {
    const text = await bench.exchange(
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
    assert.equal(bench.runs().length, 0);
  });

  it('refuses framing that could smuggle a request and closes the connection', async () => {
    const text = await bench.exchange(
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
    assert.equal(bench.runs().length, 0);
  });

  it('serves its metrics as text', async () => {
    assert.equal(await bench.statusOf('/lookups/a'), 200);
    const { addresses } = bench.deployment.gateways[0] ?? {};
    const answer = await request(`http://${addresses?.metrics ?? ''}/metrics`);
    const text = await answer.body.text();
    assert.match(text, /skylarkreach_requests_total\{outcome="answered"\} 1/);
    assert.match(text, /skylarkreach_request_duration_ms_bucket/);
  });
});
