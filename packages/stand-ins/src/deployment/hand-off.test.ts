import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';

import { createParser } from 'eventsource-parser';
import { request } from 'undici';
import { z } from 'zod';

import { answerTokens } from '../engine/index.js';
import { CALLER_TOKEN } from './daemon-settings.js';
import type { RunningDaemon } from './local-deployment.js';
import { LocalDeployment } from './local-deployment.js';

const FAR_DEADLINE = '2100-01-01T00:00:00Z';
const OTHER_TOKEN = 'token-of-the-other-workspace';
const DATA_CENTRES = ['north-1', 'north-2', 'north-3'];

/** Time between a notice and its reclaim, in milliseconds. */
const NOTICE_MS = 1_500;

/** Requests whose answers take longer than a daemon takes to read a notice. */
const LONG_STREAMED = nameOfLongAnswer('streamed');
const LONG_WAITING = nameOfLongAnswer('waiting');

const problemSchema = z.object({ type: z.string(), outcome: z.string() });
const completionSchema = z.object({
  choices: z.array(z.object({ message: z.object({ content: z.string() }) })),
});
const chunkSchema = z.object({
  choices: z.array(
    z.object({ delta: z.object({ content: z.string().optional() }) }),
  ),
});
const movedSchema = z.object({ url: z.string() });

/** What a caller has of a streamed answer. */
interface Received {
  text: string;
  lastEventId: string;
  isDone: boolean;
  movedTo: string | undefined;
}

function questionOf(name: string) {
  return [{ role: 'user', content: `Which account takes ${name}?` }];
}

function nameOfLongAnswer(prefix: string): string {
  let index = 0;
  while (answerTokens(questionOf(`${prefix}-${index}`)).length < 80) index += 1;
  return `${prefix}-${index}`;
}

function wholeOf(name: string): string {
  return answerTokens(questionOf(name)).join('');
}

describe('hand-off between daemons', () => {
  const deployment = new LocalDeployment({
    daemons: 3,
    engines: 3,
    dataCentres: DATA_CENTRES,
    engineOptions: { stepMs: 20 },
    workspaceTokens: { southside: OTHER_TOKEN },
  });

  before(() => deployment.start());
  after(() => deployment.stop());

  function headers(name: string, token = CALLER_TOKEN) {
    return {
      authorization: `Bearer ${token}`,
      'skylarkreach-deadline': FAR_DEADLINE,
      'x-request-id': `request-${name}`,
    };
  }

  function post(url: string, name: string, stream: boolean, extra = {}) {
    const body = { messages: questionOf(name), stream, ...extra };
    return request(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: headers(name),
      body: JSON.stringify(body),
    });
  }

  function get(
    url: string,
    name: string,
    lastEventId?: string,
    token?: string,
  ) {
    const extra =
      lastEventId === undefined ? {} : { 'last-event-id': lastEventId };
    return request(url, { headers: { ...headers(name, token), ...extra } });
  }

  function eventsUrl(daemon: RunningDaemon, name: string): string {
    return `http://${daemon.addresses.callers}/v1/requests/request-${name}/events`;
  }

  /** Reads a stream to its end, or until `stopAfter` events. */
  async function receive(
    answer: Awaited<ReturnType<typeof get>>,
    received: Received,
    stopAfter = Infinity,
  ): Promise<Received> {
    assert.equal(answer.statusCode, 200);
    let count = 0;
    const parser = createParser({
      onEvent: ({ data, event, id }) => {
        if (count >= stopAfter) return;
        count += 1;
        takeEvent(received, data, event, id);
      },
    });
    for await (const bytes of answer.body) {
      parser.feed(String(bytes));
      if (count >= stopAfter) return received;
    }
    return received;
  }

  async function begin(daemon: RunningDaemon, name: string, events: number) {
    const url = `http://${daemon.addresses.callers}`;
    const received = nothing();
    return receive(await post(url, name, true), received, events);
  }

  function daemonAt(index: number): RunningDaemon {
    const daemon = deployment.daemons[index];
    assert.ok(daemon);
    return daemon;
  }

  it('resumes a stream at a daemon that shares no state', async () => {
    const received = await begin(daemonAt(0), 'resumed', 5);
    assert.notEqual(received.text, wholeOf('resumed'));
    const url = eventsUrl(daemonAt(1), 'resumed');
    await receive(await get(url, 'resumed', received.lastEventId), received);
    assert.equal(received.text, wholeOf('resumed'));
    assert.equal(received.isDone, true);
  });

  it('refuses a token of another workspace, another request or a forger', async () => {
    const { lastEventId } = await begin(daemonAt(0), 'guarded', 2);
    const own = eventsUrl(daemonAt(1), 'guarded');
    const answers = [
      await get(own, 'guarded', lastEventId, OTHER_TOKEN),
      await get(eventsUrl(daemonAt(1), 'other'), 'other', lastEventId),
      await get(own, 'guarded', `x${lastEventId}`),
    ];
    for (const answer of answers) {
      assert.equal(answer.statusCode, 403);
      const problem = problemSchema.parse(await answer.body.json());
      assert.match(problem.type, /resumeRefused$/);
    }
  });

  it('tells the outcome of a request that was left', async () => {
    await begin(daemonAt(0), 'asked', 3);
    const address = daemonAt(0).addresses.callers;
    const url = `http://${address}/v1/requests/request-asked`;
    const answer = await get(url, 'asked');
    const completion = completionSchema.parse(await answer.body.json());
    assert.equal(completion.choices[0]?.message.content, wholeOf('asked'));
    const foreign = await get(url, 'asked', undefined, OTHER_TOKEN);
    assert.equal(foreign.statusCode, 404);
    await foreign.body.dump();
  });

  it('restores the resend of a caller whose daemon and engine were killed', async () => {
    const daemon = await deployment.addDaemon('north-3');
    const received = await begin(daemon, 'resent', 4);
    await deployment.killDaemon(daemon);
    const answer = await request(
      `http://${daemonAt(0).addresses.callers}/v1/chat/completions`,
      {
        method: 'POST',
        headers: {
          ...headers('resent'),
          'last-event-id': received.lastEventId,
        },
        body: JSON.stringify({
          messages: questionOf('resent'),
          stream: true,
          received_text: received.text,
        }),
      },
    );
    await receive(answer, received);
    assert.equal(received.text, wholeOf('resent'));
  });

  it('a planned stop refuses new work and cuts nothing off', async () => {
    const daemon = await deployment.addDaemon('north-1');
    const url = `http://${daemon.addresses.callers}`;
    const open = await post(url, 'drained', true);
    const stopped = deployment.stopDaemon(daemon);
    const ready = await request(`${url}/ready`);
    assert.equal(ready.statusCode, 503);
    await ready.body.dump();
    const refused = await post(url, 'refused', true);
    assert.equal(refused.statusCode, 503);
    assert.notEqual(refused.headers['retry-after'], undefined);
    const problem = problemSchema.parse(await refused.body.json());
    assert.equal(problem.outcome, 'notRun');
    const received = await receive(open, nothing());
    await stopped;
    assert.equal(received.text, wholeOf('drained'));
    assert.equal(received.isDone, true);
  });

  it('cancels a request at its engine', async () => {
    const received = await begin(daemonAt(0), 'cancelled', 2);
    const name = 'request-cancelled';
    const url = `http://${daemonAt(1).addresses.callers}/v1/requests/${name}`;
    const answer = await request(url, {
      method: 'DELETE',
      headers: {
        ...headers('cancelled'),
        'last-event-id': received.lastEventId,
      },
    });
    assert.equal(answer.statusCode, 204);
  });

  it('hands streams and waiting callers off when its data centre is reclaimed', async () => {
    const daemon = daemonAt(2);
    const url = `http://${daemon.addresses.callers}`;
    const streaming = post(url, LONG_STREAMED, true);
    const waitingFor = post(url, LONG_WAITING, false);
    const stream = await streaming;
    const reclaimed = deployment.reclaim(
      daemon.dataCentre,
      deployment.clock.nowMs() + NOTICE_MS,
    );
    const waiting = await waitingFor;
    const received = await receive(stream, nothing());
    assert.equal(waiting.statusCode, 303);
    const location = String(waiting.headers.location);
    await reclaimed;
    assert.notEqual(received.movedTo, undefined);
    const moved = received.movedTo ?? '';
    await receive(
      await get(moved, LONG_STREAMED, received.lastEventId),
      received,
    );
    assert.equal(received.text, wholeOf(LONG_STREAMED));
    const answer = await get(location, LONG_WAITING);
    const completion = completionSchema.parse(await answer.body.json());
    assert.equal(completion.choices[0]?.message.content, wholeOf(LONG_WAITING));
  });
});

function nothing(): Received {
  return { text: '', lastEventId: '', isDone: false, movedTo: undefined };
}

function takeEvent(
  received: Received,
  data: string,
  event: string | undefined,
  id: string | undefined,
): void {
  if (event === 'moved') {
    received.movedTo = movedSchema.parse(JSON.parse(data)).url;
  } else if (data === '[DONE]') {
    received.isDone = true;
  } else {
    assert.equal(event, undefined, data);
    const chunk = chunkSchema.parse(JSON.parse(data));
    received.text += chunk.choices[0]?.delta.content ?? '';
    received.lastEventId = id ?? received.lastEventId;
  }
}
