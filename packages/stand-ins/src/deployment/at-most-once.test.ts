import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';

import { request } from 'undici';
import { z } from 'zod';

import { Fault, FaultyKeyValue } from '@skylarkreach/core/fakes';
import { SystemClock } from '@skylarkreach/daemon';

import { CALLER_TOKEN } from './daemon-settings.js';
import { LocalDeployment } from './local-deployment.js';

const FAR_DEADLINE = '2100-01-01T00:00:00Z';
const LOST_BODY = '{"lost":true}';

const outcomeSchema = z.object({
  outcome: z.string(),
  response: z.object({ body: z.string() }).optional(),
});
const problemSchema = z.object({ outcome: z.string(), remedy: z.string() });

describe('calls that run at most once, over sockets', () => {
  let isDown = false;
  const deployment = new LocalDeployment({
    daemons: 2,
    engines: 0,
    services: [
      { group: 'ledger', deduplicatesByKey: false, answersOutcomes: true },
    ],
    serviceOptions: { losesAnswer: run => run.body === LOST_BODY },
    wrapKeyValue: store =>
      new FaultyKeyValue(store, new SystemClock(), () =>
        isDown ? Fault.Down : Fault.None,
      ),
  });

  before(() => deployment.start());
  after(() => deployment.stop());

  function send(daemon: number, method: 'GET' | 'POST', path: string) {
    return (key: string, body?: string) => {
      const callers = deployment.daemons[daemon]?.addresses.callers ?? '';
      return request(`http://${callers}/v1/services/ledger/${path}`, {
        method,
        body,
        headers: {
          authorization: `Bearer ${CALLER_TOKEN}`,
          'skylarkreach-deadline': FAR_DEADLINE,
          'skylarkreach-kind': 'posting',
          'idempotency-key': key,
        },
      });
    };
  }

  const post = (daemon: number) => send(daemon, 'POST', 'postings');
  const ask = (daemon: number, key: string) =>
    send(daemon, 'GET', `outcomes/${key}`)(key);

  function runsOf(key: string): number {
    const runs = deployment.service.runs;
    return runs.filter(each => each.idempotencyKey?.endsWith(key)).length;
  }

  it('joins retries sent at the same moment to both daemons', async () => {
    const answers = await Promise.all(
      [0, 1, 0, 1].map(daemon => post(daemon)('posting-1', '{"amount":1}')),
    );
    const bodies = await Promise.all(answers.map(each => each.body.text()));
    assert.deepEqual(new Set(bodies).size, 1);
    assert.equal(answers[0]?.statusCode, 200);
    assert.equal(runsOf('posting-1'), 1);
  });

  it('answers a lost call from the outcome that the service tells', async () => {
    const answer = await post(0)('posting-2', LOST_BODY);
    const body = await answer.body.text();
    assert.equal(answer.statusCode, 200);
    assert.equal(runsOf('posting-2'), 1);
    const told = await ask(1, 'posting-2');
    const outcome = outcomeSchema.parse(await told.body.json());
    assert.equal(outcome.outcome, 'ran');
    assert.equal(outcome.response?.body, body);
  });

  it('refuses a key with another body', async () => {
    await (await post(0)('posting-3', '{"amount":3}')).body.text();
    const answer = await post(1)('posting-3', '{"amount":4}');
    assert.equal(answer.statusCode, 422);
    const problem = problemSchema.parse(await answer.body.json());
    assert.equal(problem.outcome, 'notRun');
    assert.equal(runsOf('posting-3'), 1);
  });

  it('tells nothing of a key that is not on record', async () => {
    const answer = await ask(0, 'posting-9');
    assert.equal(answer.statusCode, 404);
    const problem = problemSchema.parse(await answer.body.json());
    assert.equal(problem.outcome, 'unknown');
  });

  it('refuses without a run while the key-value service is down', async () => {
    isDown = true;
    const answer = await post(0)('posting-4', '{}');
    isDown = false;
    assert.equal(answer.statusCode, 503);
    assert.ok(Number(answer.headers['retry-after']) >= 1);
    const problem = problemSchema.parse(await answer.body.json());
    assert.equal(problem.outcome, 'notRun');
    assert.equal(runsOf('posting-4'), 0);
    const retry = await post(1)('posting-4', '{}');
    assert.equal(retry.statusCode, 200);
    await retry.body.dump();
    assert.equal(runsOf('posting-4'), 1);
  });
});
