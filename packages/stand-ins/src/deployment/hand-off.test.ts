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

/** Time between a reclaim notice and the reclaim, in milliseconds. */
const NOTICE_MS = 1_500;

/** Names of requests whose answers take longer than a daemon takes to poll the reclaim notices. */
const LONG_STREAMED_NAME = findLongAnswerName('streamed');
const LONG_WAITING_NAME = findLongAnswerName('waiting');

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

/** The part of a streamed answer that a caller has received. */
interface Received {
  text: string;
  lastEventId: string;
  isDone: boolean;
  movedTo: string | undefined;
}

function createMessages(name: string) {
  return [{ role: 'user', content: `Which account takes ${name}?` }];
}

function findLongAnswerName(prefix: string): string {
  let index = 0;
  while (answerTokens(createMessages(`${prefix}-${index}`)).length < 80)
    index += 1;
  return `${prefix}-${index}`;
}

function expectedAnswer(name: string): string {
  return answerTokens(createMessages(name)).join('');
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
    const body = { messages: createMessages(name), stream, ...extra };
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

  /** Reads a stream to its end, or until `stopAfter` events have been received. */
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
        applyEvent(received, data, event, id);
      },
    });
    for await (const bytes of answer.body) {
      parser.feed(String(bytes));
      if (count >= stopAfter) return received;
    }
    return received;
  }

  async function startStream(
    daemon: RunningDaemon,
    name: string,
    events: number,
  ) {
    const url = `http://${daemon.addresses.callers}`;
    const received = emptyReceived();
    return receive(await post(url, name, true), received, events);
  }

  function daemonAt(index: number): RunningDaemon {
    const daemon = deployment.daemons[index];
    assert.ok(daemon);
    return daemon;
  }

  it('resumes a stream at a daemon that shares no state with the first', async () => {
    const received = await startStream(daemonAt(0), 'resumed', 5);
    assert.notEqual(received.text, expectedAnswer('resumed'));
    const url = eventsUrl(daemonAt(1), 'resumed');
    await receive(await get(url, 'resumed', received.lastEventId), received);
    assert.equal(received.text, expectedAnswer('resumed'));
    assert.equal(received.isDone, true);
  });

  it('refuses to resume with the credentials of another workspace, a token of another request or a forged token', async () => {
    const { lastEventId } = await startStream(daemonAt(0), 'guarded', 2);
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

  it('returns the complete answer of a request whose caller disconnected', async () => {
    await startStream(daemonAt(0), 'asked', 3);
    const address = daemonAt(0).addresses.callers;
    const url = `http://${address}/v1/requests/request-asked`;
    const answer = await get(url, 'asked');
    const completion = completionSchema.parse(await answer.body.json());
    assert.equal(
      completion.choices[0]?.message.content,
      expectedAnswer('asked'),
    );
    const foreign = await get(url, 'asked', undefined, OTHER_TOKEN);
    assert.equal(foreign.statusCode, 404);
    await foreign.body.dump();
  });

  it('continues the answer of a request that is resent after its daemon was killed', async () => {
    const daemon = await deployment.addDaemon('north-3');
    const received = await startStream(daemon, 'resent', 4);
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
          messages: createMessages('resent'),
          stream: true,
          received_text: received.text,
        }),
      },
    );
    await receive(answer, received);
    assert.equal(received.text, expectedAnswer('resent'));
  });

  it('refuses new requests during a planned stop and completes those in flight', async () => {
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
    const received = await receive(open, emptyReceived());
    await stopped;
    assert.equal(received.text, expectedAnswer('drained'));
    assert.equal(received.isDone, true);
  });

  it('cancels a request through another daemon', async () => {
    const received = await startStream(daemonAt(0), 'cancelled', 2);
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

  it('hands off streams and waiting callers when their data centre is reclaimed', async () => {
    const daemon = daemonAt(2);
    const url = `http://${daemon.addresses.callers}`;
    const streaming = post(url, LONG_STREAMED_NAME, true);
    const waitingAnswer = post(url, LONG_WAITING_NAME, false);
    const stream = await streaming;
    const reclaimed = deployment.reclaimDataCentre(
      daemon.dataCentre,
      deployment.clock.nowMs() + NOTICE_MS,
    );
    const waiting = await waitingAnswer;
    const received = await receive(stream, emptyReceived());
    assert.equal(waiting.statusCode, 303);
    const location = String(waiting.headers.location);
    await reclaimed;
    assert.notEqual(received.movedTo, undefined);
    const moved = received.movedTo ?? '';
    await receive(
      await get(moved, LONG_STREAMED_NAME, received.lastEventId),
      received,
    );
    assert.equal(received.text, expectedAnswer(LONG_STREAMED_NAME));
    const answer = await get(location, LONG_WAITING_NAME);
    const completion = completionSchema.parse(await answer.body.json());
    assert.equal(
      completion.choices[0]?.message.content,
      expectedAnswer(LONG_WAITING_NAME),
    );
  });
});

function emptyReceived(): Received {
  return { text: '', lastEventId: '', isDone: false, movedTo: undefined };
}

function applyEvent(
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
