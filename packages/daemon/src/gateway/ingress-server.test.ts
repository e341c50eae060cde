import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';

import type {
  Forwarder,
  ForwardRequest,
  ResponseWriter,
} from '@skylarkreach/core/forwarding';
import {
  ForwardError,
  ForwardErrorKind,
  RequestMemory,
} from '@skylarkreach/core/forwarding';
import { PlainProtocol } from '@skylarkreach/core/forwarding/fakes';
import { noopLog, noopMetrics } from '@skylarkreach/core/ports';

import { SystemClock } from '../adapters/index.js';
import { nextPoll } from '../http/index.js';
import { shareMachine } from '../settings/index.js';
import { IngressServer } from './ingress-server.js';

const MACHINE = { memoryMb: 210, maxDescriptors: 2_212 };
const MEMORY_BYTES = 1_048_576;
const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Protocol in which each request has an id. */
class NamedProtocol extends PlainProtocol {
  override readRequest() {
    return { ...super.readRequest(), requestId: 'r1' };
  }
}

describe('IngressServer with pipelined requests', () => {
  const clock = new SystemClock();
  let server: IngressServer;
  let socket: Socket;
  let received: string;
  let answers: Map<string, () => void>;
  let isExcess: boolean;

  beforeEach(async () => {
    received = '';
    answers = new Map();
    isExcess = false;
    const deps = { clock, log: noopLog, metrics: noopMetrics };
    const handle = (
      { target }: ForwardRequest,
      sink: ResponseWriter,
    ): Promise<void> =>
      new Promise(resolve => {
        answers.set(target, () => {
          sink.begin(200, ['content-length', '0']);
          sink.end();
          resolve();
        });
      });
    const rejectExcess = () => {
      if (isExcess) throw new ForwardError(ForwardErrorKind.Overloaded, '', 0);
    };
    server = new IngressServer({
      ...deps,
      protocol: new NamedProtocol(),
      forwarder: {
        handle,
        rejectLate: () => undefined,
        rejectExcess,
      } as unknown as Forwarder,
      limits: () => LIMITS,
      requestMemory: new RequestMemory(deps, MEMORY_BYTES),
      machine: shareMachine(MACHINE),
      workspaceOf: () => undefined,
    });
    const address = await server.listen('127.0.0.1:0');
    socket = connect(Number(address.split(':')[1]), '127.0.0.1');
    socket.on('error', () => undefined); // a reset is one way to close
    socket.on('data', (chunk: Buffer) => {
      received += String(chunk);
    });
    await once(socket, 'connect');
    socket.write('GET /first HTTP/1.1\r\nhost: a\r\n\r\n');
    while (!answers.has('/first')) await nextPoll();
  });

  afterEach(() => {
    socket.destroy();
    server.destroy();
  });

  // The response of a request that runs was lost with the connection.
  it('refuses what a daemon that is behind cannot forward after the response before it', async () => {
    isExcess = true;
    socket.write('GET /second HTTP/1.1\r\nhost: a\r\n\r\n');
    await clock.waitUntil(clock.nowMs() + 50);
    answers.get('/first')?.();
    while (!received.includes('503') && !socket.closed) await nextPoll();
    assert.match(received, /^HTTP\/1\.1 200 .*HTTP\/1\.1 503 /s);
  });

  // A closed connection leaves open whether the request has run.
  it('refuses a body without memory if the response before it has ended', async () => {
    socket.write(
      `POST /second HTTP/1.1\r\nhost: a\r\ncontent-length: ${LIMITS.maxBodyBytes}\r\n\r\nx`,
    );
    await clock.waitUntil(clock.nowMs() + 50);
    answers.get('/first')?.();
    while (!received.includes('200')) await nextPoll();
    socket.write(Buffer.alloc(MEMORY_BYTES));
    while (!received.includes('503') && !socket.closed) await nextPoll();
    assert.match(received, /^HTTP\/1\.1 200 .*HTTP\/1\.1 503 /s);
  });

  // A refusal that waits for its turn would keep the memory of the request.
  it('closes the connection of a body without memory behind a response that is due', async () => {
    socket.write(
      `POST /second HTTP/1.1\r\nhost: a\r\ncontent-length: ${LIMITS.maxBodyBytes}\r\n\r\n`,
    );
    socket.write(Buffer.alloc(MEMORY_BYTES));
    while (!socket.closed) await nextPoll();
    assert.equal(received, '');
  });
});
