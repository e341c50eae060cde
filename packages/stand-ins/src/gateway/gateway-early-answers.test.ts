import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import { Agent, request } from 'undici';

import {
  SAMPLE_HOST,
  SAMPLE_KEY,
  sampleCall,
} from '@skylarkreach/platform/stand-ins';
import { RawLoopbackServer } from '@skylarkreach/platform/stand-ins';

import { LinkState } from './endpoint-links.js';
import type { RunningGateway } from './gateway-deployment.js';
import { waitUntil } from './gateway-fixture.js';
import { PartitionFixture } from './partition-fixture.js';

const DEADLINE_MS = 3_000;
/** More than connections buffer, so that it is still being written when the response arrives. */
const UPLOAD = 'u'.repeat(4_000_000);
const PART = 'part of the body';
const HEAD_END = '\r\n\r\n';
const REPETITIONS = 6;

enum Close {
  Resets = 'a reset',
  EndsThenResets = 'an end and a reset',
  /** The upload is read to its end after the response. */
  Ends = 'an end, and the upload is read',
}

enum Framing {
  None = 'no length',
  Length = 'a length',
  Chunks = 'chunks',
}

interface EarlyAnswer {
  readonly status: string;
  readonly framing: Framing;
  readonly close: Close;
  /** Time from the response to the reset. */
  readonly resetAfterMs: number;
}

/** Endpoint that answers a request as soon as it has read its head. */
class EarlyEndpoint {
  answer: EarlyAnswer | undefined;
  readonly server = new RawLoopbackServer(socket => {
    this.serve(socket);
  });

  private serve(socket: Socket): void {
    let received = '';
    let isAnswered = false;
    socket.on('data', chunk => {
      if (isAnswered) return;
      received += chunk.toString('latin1');
      const [head = '', body] = received.split(HEAD_END);
      if (body === undefined) return;
      const id = /^request-id: *(.*)$/im.exec(head)?.[1]?.trim() ?? '';
      const ownHead = `request-id: ${id}\r\nresponse-signature: s\r\n`;
      if (id.startsWith('first')) {
        received = '';
        socket.write(
          `HTTP/1.1 200 OK\r\n${ownHead}content-length: 0${HEAD_END}`,
        );
        return;
      }
      isAnswered = true;
      if (this.answer !== undefined) void respond(socket, ownHead, this.answer);
    });
  }
}

async function respond(
  socket: Socket,
  ownHead: string,
  { close, framing, resetAfterMs, status }: EarlyAnswer,
): Promise<void> {
  const head = `HTTP/1.1 ${status}\r\n${ownHead}`;
  if (close !== Close.Ends) socket.pause();
  socket.write(head + framedPart(framing));
  if (close !== Close.Resets) socket.end();
  if (close === Close.Ends) return;
  await delay(resetAfterMs);
  socket.resetAndDestroy();
}

/** Returns the rest of the head and a part of the body it announces; all of it without a length. */
function framedPart(framing: Framing): string {
  switch (framing) {
    case Framing.None:
      return `\r\n${PART}`;
    case Framing.Length:
      return `content-length: ${PART.length * 2}${HEAD_END}${PART}`;
    case Framing.Chunks:
      return `transfer-encoding: chunked${HEAD_END}${PART.length.toString(16)}\r\n${PART}\r\n`;
  }
}

describe('a long upload that its endpoint answers before it has read it', () => {
  const fixture = new PartitionFixture(2);
  const endpoint = new EarlyEndpoint();
  const agent = new Agent({ connections: 1 });
  let cutOff: RunningGateway;
  let direct: RunningGateway;
  let sent = 0;

  before(async () => {
    await fixture.start();
    const address = await endpoint.server.listen();
    const { deployment } = fixture;
    deployment.writeConfiguration(2, { maxBodyBytes: UPLOAD.length });
    deployment.replaceEndpoints('early', 'ledger', address);
    await waitUntil(() =>
      fixture.gateways.every(({ gateway: { wiring } }) => {
        const [known, ...others] = wiring.pool.endpoints();
        const isListed = known?.id === 'early' && others.length === 0;
        return isListed && wiring.configuration.version === 2;
      }),
    );
    cutOff = fixture.gateway(0);
    direct = fixture.gateway(1);
    await fixture.cut(1, LinkState.Reset);
  });

  after(async () => {
    await agent.destroy();
    endpoint.server.destroy();
    await fixture.stop();
  });

  async function post(
    { addresses }: RunningGateway,
    kind: string,
    upload: string,
  ) {
    sent += 1;
    const { headers } = sampleCall(`${kind}-${sent}`, DEADLINE_MS, false);
    const { body, statusCode } = await request(
      `http://${addresses.callers}/postings/a`,
      {
        method: 'POST',
        headers: { ...headers, host: SAMPLE_HOST, key: SAMPLE_KEY },
        body: upload,
        dispatcher: agent,
      },
    );
    return { statusCode, text: await body.text().catch(() => undefined) };
  }

  /** Sends uploads, some on connections of the daemon that carried a response before, and returns their statuses. */
  async function statusesOf(
    gateway: RunningGateway,
    answer: Omit<EarlyAnswer, 'resetAfterMs'>,
  ): Promise<readonly number[]> {
    const statuses: number[] = [];
    for (let each = 0; each < REPETITIONS; each += 1) {
      endpoint.answer = { ...answer, resetAfterMs: 1 + each };
      if (each % 2 === 1) await post(gateway, 'first', '');
      const { statusCode } = await post(gateway, 'upload', UPLOAD);
      statuses.push(statusCode);
    }
    return statuses;
  }

  const failures = Array.from({ length: REPETITIONS }, () => 502);

  for (const way of ['directly', 'through a peer']) {
    const gateway = () => (way === 'directly' ? direct : cutOff);

    for (const framing of Object.values(Framing)) {
      for (const close of [Close.Resets, Close.EndsThenResets]) {
        // A part of a body that ended before its upload was read was passed on as whole.
        it(`fails where a part of the answer ends with ${close}: ${framing}, ${way}`, async () => {
          const answer = { status: '200 OK', framing, close };
          assert.deepEqual(await statusesOf(gateway(), answer), failures);
        });
      }
    }

    for (const status of ['000 Zero', '099 Low', '600 High', '999 High']) {
      // An answer with such a status is none (RFC 9110, 15), and 999 was passed on.
      it(`fails where the answer has the status ${status}: ${way}`, async () => {
        const answer = { status, framing: Framing.None, close: Close.Ends };
        assert.deepEqual(await statusesOf(gateway(), answer), failures);
      });
    }

    it(`succeeds where the endpoint ends its answer without a length, and then reads the upload: ${way}`, async () => {
      endpoint.answer = {
        ...{ status: '200 OK', framing: Framing.None, close: Close.Ends },
        resetAfterMs: 0,
      };
      const { statusCode, text } = await post(gateway(), 'upload', UPLOAD);
      assert.equal(statusCode, 200);
      assert.equal(text, PART);
    });
  }
});
