/* global URL */
// Three daemons before two workers. One of the workers gives one in twenty of its answers
// without a length, so that the answer ends with its channel; all others have chunks. Clients read streams at one daemon; its process is
// killed once each of them has some events. A client that reads an answer without a
// length takes it as complete where its channel is closed in order, and as incomplete
// where it is reset.
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import { createConfig, HOST, KEY, streamRoute } from '../lib/config.mjs';
import { HAS_TROUBLE, runCase } from '../lib/deployment.mjs';
import { Worker } from '../lib/worker.mjs';

const EVENTS = 24;
const EVENT_GAP_MS = 100;
const STREAMS = 100;
/** One in so many answers of the first worker has no length. */
const ANSWERS_PER_UNFRAMED = 20;

/** Answers with a stream of events, in chunks or without a length. */
async function answerStream(run, response, request) {
  const { socket } = request;
  const isUnframed =
    this.id === 'i-1' && this.runs.length % ANSWERS_PER_UNFRAMED === 0;
  run.isUnframed = isUnframed;
  response.setHeader('Content-Type', 'text/event-stream');
  if (isUnframed) {
    socket.write(
      `HTTP/1.1 200 OK\r\nRequest-Id: ${run.id}\r\nResponse-Signature: ${this.id}.${run.id}\r\n` +
        'Content-Type: text/event-stream\r\nConnection: close\r\n\r\n',
    );
  }
  const target = isUnframed ? socket : response;
  const from = Number(run.headers['last-event-id'] ?? 0) + 1;
  for (let id = from; id <= EVENTS && !socket.destroyed; id += 1) {
    target.write(`id: ${id}\ndata: token ${id} of ${run.id}\n\n`);
    await delay(EVENT_GAP_MS);
  }
  target.end();
}

/** Reads one stream on a channel of its own. */
function readStream(address, id) {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  const state = { id, text: '', isReset: false };
  socket.on('data', chunk => {
    state.text += chunk.toString();
  });
  socket.on('error', () => {
    state.isReset = true;
  });
  socket.on('end', () => {
    // libuv reports a reset that arrives together with data as an end; only a channel that is reset has no peer by then.
    if (socket.remoteAddress === undefined) state.isReset = true;
  });
  state.closed = new Promise(resolve => {
    socket.once('close', resolve);
  });
  socket.write(
    `POST /drafts/a HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: ${id}\r\nKey: ${KEY}\r\nDeadline-Ms: 8000\r\n` +
      'Model: m\r\nToken-Usage: 100,120\r\nPrompt-Prefix: aa:60,bb:40\r\nContent-Length: 8\r\n\r\na ruling',
  );
  return state;
}

await runCase(new URL('record.txt', import.meta.url), async deployment => {
  const workers = ['i-1', 'i-2'].map(id => {
    const worker = new Worker(id, 'models', { slots: 64 });
    worker.answer = answerStream;
    return worker;
  });
  await deployment.start({
    zones: ['akl-a', 'akl-b', 'ham-a'],
    config: createConfig(3, [streamRoute('drafts', 'models')]),
    workers,
  });
  await deployment.whenReady();
  await delay(2_000);

  const [daemon] = deployment.daemons;
  const streams = Array.from({ length: STREAMS }, (_, index) =>
    readStream(daemon.address, `draft-${index + 1}`),
  );
  await delay((EVENTS * EVENT_GAP_MS) / 2);
  if (HAS_TROUBLE) {
    daemon.kill();
    deployment.record(`the process of ${daemon.name} is killed`);
  }
  await Promise.all(streams.map(({ closed }) => closed));

  let broken = 0;
  for (const { id, isReset, text } of streams) {
    const [head, body = ''] = text.split('\r\n\r\n');
    const hasLength = /^(content-length|transfer-encoding):/im.test(head);
    const isSuccess =
      /^HTTP\/1\.1 200 /.test(head) && /^response-signature: /im.test(head);
    const events = body.match(/^id: /gm)?.length ?? 0;
    // With chunks, an answer is complete with its last, empty chunk.
    const looksComplete = hasLength ? body.endsWith('0\r\n\r\n') : !isReset;
    const isBroken = isSuccess && looksComplete && events < EVENTS;
    if (isBroken) broken += 1;
    const framing = hasLength ? 'with a length or chunks' : 'without a length';
    deployment.record(
      `${id}: a success ${framing}, ${events} of ${EVENTS} events, channel ${isReset ? 'reset' : 'closed in order'}` +
        (isBroken ? ' - ends early and looks complete' : ''),
    );
  }
  for (const worker of workers) {
    for (const run of worker.runs)
      deployment.record(
        `${worker.id} ran ${run.id}${run.isUnframed ? ', answered without a length' : ''}`,
      );
  }
  return broken > 0;
});
