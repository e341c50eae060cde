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

describe('at-most-once service calls over sockets', () => {
  let isKeyValueDown = false;
  const deployment = new LocalDeployment({
    daemons: 2,
    engines: 0,
    services: [
      { group: 'ledger', deduplicatesByKey: false, answersOutcomes: true },
    ],
    serviceOptions: { dropsResponse: run => run.body === LOST_BODY },
    wrapKeyValue: store =>
      new FaultyKeyValue(store, new SystemClock(), () =>
        isKeyValueDown ? Fault.Down : Fault.None,
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
  const queryOutcome = (daemon: number, key: string) =>
    send(daemon, 'GET', `outcomes/${key}`)(key);

  function countRuns(key: string): number {
    const runs = deployment.service.runs;
    return runs.filter(run => run.idempotencyKey?.endsWith(key)).length;
  }

  it('runs a call once for concurrent retries at both daemons', async () => {
    const answers = await Promise.all(
      [0, 1, 0, 1].map(daemon => post(daemon)('posting-1', '{"amount":1}')),
    );
    const bodies = await Promise.all(answers.map(answer => answer.body.text()));
    assert.deepEqual(new Set(bodies).size, 1);
    assert.equal(answers[0]?.statusCode, 200);
    assert.equal(countRuns('posting-1'), 1);
  });

  it('recovers a lost response by asking the service for the outcome', async () => {
    const answer = await post(0)('posting-2', LOST_BODY);
    const body = await answer.body.text();
    assert.equal(answer.statusCode, 200);
    assert.equal(countRuns('posting-2'), 1);
    const outcomeAnswer = await queryOutcome(1, 'posting-2');
    const outcome = outcomeSchema.parse(await outcomeAnswer.body.json());
    assert.equal(outcome.outcome, 'ran');
    assert.equal(outcome.response?.body, body);
  });

  it('refuses a reused key with a different body', async () => {
    await (await post(0)('posting-3', '{"amount":3}')).body.text();
    const answer = await post(1)('posting-3', '{"amount":4}');
    assert.equal(answer.statusCode, 422);
    const problem = problemSchema.parse(await answer.body.json());
    assert.equal(problem.outcome, 'notRun');
    assert.equal(countRuns('posting-3'), 1);
  });

  it('reports an unknown outcome for a key without a record', async () => {
    const answer = await queryOutcome(0, 'posting-9');
    assert.equal(answer.statusCode, 404);
    const problem = problemSchema.parse(await answer.body.json());
    assert.equal(problem.outcome, 'unknown');
  });

  it('refuses a call without running it while the key-value service is down', async () => {
    isKeyValueDown = true;
    const answer = await post(0)('posting-4', '{}');
    isKeyValueDown = false;
    assert.equal(answer.statusCode, 503);
    assert.ok(Number(answer.headers['retry-after']) >= 1);
    const problem = problemSchema.parse(await answer.body.json());
    assert.equal(problem.outcome, 'notRun');
    assert.equal(countRuns('posting-4'), 0);
    const retry = await post(1)('posting-4', '{}');
    assert.equal(retry.statusCode, 200);
    await retry.body.dump();
    assert.equal(countRuns('posting-4'), 1);
  });
});
