import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { request } from 'undici';

import { SAMPLE_HOST, SAMPLE_KEY } from '@skylarkreach/platform/stand-ins';

import { GatewayFixture } from './gateway-fixture.js';

describe('a request to the gateway', () => {
  let fixture: GatewayFixture;

  beforeEach(async () => {
    fixture = new GatewayFixture();
    await fixture.start();
  });

  afterEach(async () => {
    await fixture.stop();
  });

  it('forwards the body unread and returns the response unchanged', async () => {
    const response = await fixture.send(
      '/postings/a?b=1',
      {},
      { body: '{"c":2}' },
    );
    assert.equal(response.statusCode, 200);
    assert.match(await response.body.text(), /^answer of ledger-/);
    assert.match(String(response.headers['response-signature']), /^signed-by-/);
    const [run] = fixture.runs();
    assert.equal(run?.target, '/postings/a?b=1');
    assert.equal(run.body, '{"c":2}');
    assert.equal(run.headers['tenant-id'], 'kowhai');
    assert.equal(run.headers.key, undefined);
    assert.ok(Number(run.headers['deadline-ms']) <= 1_500);
  });

  it('does not accept internal headers from callers', async () => {
    await fixture.statusOf('/lookups/a', {
      'tenant-id': 'another',
      'pin-ms': '1000',
      hold: 'x',
      'kv-from': '10.0.0.1:1/2',
      connection: 'request-id',
    });
    const [run] = fixture.runs();
    assert.equal(run?.headers['tenant-id'], 'kowhai');
    assert.equal(run.headers['pin-ms'], undefined);
    assert.equal(run.headers.hold, undefined);
    assert.equal(run.headers['kv-from'], undefined);
    assert.match(run.requestId, /^request-/);
  });

  it('rejects unknown routes and keys', async () => {
    assert.equal(await fixture.statusOf('/nowhere/a'), 404);
    assert.equal(
      await fixture.statusOf('/lookups/a', { host: 'other.example' }),
      404,
    );
    assert.equal(await fixture.statusOf('/lookups/a', { key: 'unknown' }), 401);
    assert.equal(fixture.runs().length, 0);
  });

  it('rejects bodies and headers that exceed the configured limits', async () => {
    const largeBody = 'x'.repeat(70_000);
    const oversizedBody = await fixture.send(
      '/postings/a',
      {},
      { body: largeBody },
    );
    assert.equal(oversizedBody.statusCode, 413);
    await oversizedBody.body.dump();
    const largeHeader = 'x'.repeat(20_000);
    assert.equal(
      await fixture.statusOf('/lookups/a', { 'x-large': largeHeader }),
      431,
    );
    assert.equal(fixture.runs().length, 0);
  });

  it('responds with 408 when the headers take too long', async () => {
    const text = await fixture.sendRaw(
      'GET /lookups/a HTTP/1.1\r\nHost: a\r\n',
    );
    assert.match(text, /^HTTP\/1\.1 408 /);
  });

  it('responds with 408 when the body takes too long, and forwards none of it', async () => {
    const text = await fixture.sendRaw(
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
    assert.equal(fixture.runs().length, 0);
  });

  it('rejects conflicting framing headers, which allow request smuggling, and closes the connection', async () => {
    const text = await fixture.sendRaw(
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
    assert.equal(fixture.runs().length, 0);
  });

  it('serves metrics as text', async () => {
    assert.equal(await fixture.statusOf('/lookups/a'), 200);
    const { addresses } = fixture.deployment.gateways[0] ?? {};
    const response = await request(
      `http://${addresses?.metrics ?? ''}/metrics`,
    );
    const text = await response.body.text();
    assert.match(text, /skylarkreach_requests_total\{outcome="answered"\} 1/);
    assert.match(text, /skylarkreach_request_duration_ms_bucket/);
  });
});
