import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, before, describe, it } from 'node:test';

import { request } from 'undici';
import { z } from 'zod';

import { answerTokens } from '../engine/index.js';
import { CALLER_TOKEN } from './daemon-settings.js';
import { LocalDeployment } from './local-deployment.js';

const MESSAGES = [{ role: 'user', content: 'Which account takes this entry?' }];
const FAR_DEADLINE = '2100-01-01T00:00:00Z';

const problemSchema = z.object({ outcome: z.string(), remedy: z.string() });
const completionSchema = z.object({
  choices: z.array(z.object({ message: z.object({ content: z.string() }) })),
});
const chunkSchema = z.object({
  choices: z.array(
    z.object({ delta: z.object({ content: z.string().optional() }) }),
  ),
});

describe('the local deployment', () => {
  const deployment = new LocalDeployment({ engineOptions: { stepMs: 2 } });
  const expected = answerTokens(MESSAGES).join('');

  before(() => deployment.start());
  after(() => deployment.stop());

  function callers(index = 0): string {
    return deployment.daemons[index]?.addresses.callers ?? '';
  }

  function post(
    path: string,
    body: string,
    headers: Record<string, string> = {},
  ) {
    return request(`http://${callers()}${path}`, {
      method: 'POST',
      body,
      headers: {
        authorization: `Bearer ${CALLER_TOKEN}`,
        'skylarkreach-deadline': FAR_DEADLINE,
        ...headers,
      },
    });
  }

  async function expectNotRun(
    answer: Awaited<ReturnType<typeof post>>,
    status: number,
  ): Promise<void> {
    assert.equal(answer.statusCode, status);
    const problem = problemSchema.parse(await answer.body.json());
    assert.equal(problem.outcome, 'notRun');
    assert.notEqual(problem.remedy, '');
  }

  it('answers a chat completion as JSON', async () => {
    const body = JSON.stringify({ messages: MESSAGES });
    const answer = await post('/v1/chat/completions', body);
    assert.equal(answer.statusCode, 200);
    const completion = completionSchema.parse(await answer.body.json());
    assert.equal(completion.choices[0]?.message.content, expected);
  });

  it('streams a chat completion', async () => {
    const body = JSON.stringify({ messages: MESSAGES, stream: true });
    const answer = await post('/v1/chat/completions', body);
    const lines = (await answer.body.text())
      .split('\n')
      .filter(line => line.startsWith('data: '))
      .map(line => line.slice('data: '.length));
    assert.equal(lines.at(-1), '[DONE]');
    const text = lines
      .slice(0, -1)
      .map(line => chunkSchema.parse(JSON.parse(line)))
      .map(chunk => chunk.choices[0]?.delta.content ?? '')
      .join('');
    assert.equal(text, expected);
  });

  it('runs a posting once per idempotency key', async () => {
    const headers = {
      'skylarkreach-kind': 'posting',
      'idempotency-key': 'posting-1',
    };
    const send = () => post('/v1/services/ledger/postings', '{}', headers);
    const first = await (await send()).body.text();
    const second = await (await send()).body.text();
    assert.equal(first, second);
    const runs = deployment.service.runs.filter(
      run => run.idempotencyKey === 'posting-1',
    );
    assert.equal(runs.length, 1);
  });

  it('serves a request without a deadline, as standard clients send it', async () => {
    const answer = await request(`http://${callers()}/v1/chat/completions`, {
      method: 'POST',
      body: JSON.stringify({ messages: MESSAGES }),
      headers: { authorization: `Bearer ${CALLER_TOKEN}` },
    });
    assert.equal(answer.statusCode, 200);
    const completion = completionSchema.parse(await answer.body.json());
    assert.equal(completion.choices[0]?.message.content, expected);
  });

  it('refuses invalid requests without running them', async () => {
    const path = '/v1/chat/completions';
    const body = JSON.stringify({ messages: MESSAGES });
    const runsBefore = deployment.service.runs.length;
    await expectNotRun(await post(path, '{"messages":'), 400);
    await expectNotRun(await post(path, 'x'.repeat(1_000_001)), 413);
    await expectNotRun(
      await post(path, body, { authorization: 'Bearer unknown' }),
      401,
    );
    await expectNotRun(
      await post(path, body, { 'skylarkreach-deadline': '' }),
      400,
    );
    await expectNotRun(
      await post(path, body, {
        'skylarkreach-deadline': '2001-01-01T00:00:00Z',
      }),
      504,
    );
    await expectNotRun(await post('/v2/unknown', body), 404);
    assert.equal(deployment.service.runs.length, runsBefore);
  });

  it('closes the connection after refusing an oversized body', async () => {
    const [host, port] = callers().split(':');
    const socket = connect(Number(port), host);
    socket.write(
      'POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 9000000\r\n\r\n',
    );
    socket.write('x'.repeat(1_100_000));
    let received = '';
    for await (const bytes of socket) received += String(bytes);
    assert.match(received, /^HTTP\/1\.1 413 /);
    assert.match(received, /connection: close/i);
  });

  it('completes a stream in flight during a graceful stop', async () => {
    const { addresses, daemon } = await deployment.addDaemon('north-1');
    const answer = await request(
      `http://${addresses.callers}/v1/chat/completions`,
      {
        method: 'POST',
        body: JSON.stringify({ messages: MESSAGES, stream: true }),
        headers: {
          authorization: `Bearer ${CALLER_TOKEN}`,
          'skylarkreach-deadline': FAR_DEADLINE,
        },
      },
    );
    const [text] = await Promise.all([answer.body.text(), daemon.stop()]);
    assert.ok(text.endsWith('data: [DONE]\n\n'));
  });
});
