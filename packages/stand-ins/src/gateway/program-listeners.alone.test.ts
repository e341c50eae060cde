import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { request } from 'undici';

import { SAMPLE_HOST } from '@skylarkreach/platform/stand-ins';

import { CallerCrowd } from './caller-crowd.js';
import { ProgramFixture } from './program-fixture.js';
import { ProgramUsage } from './program-usage.js';

/** Machine of the test, as in the tests of the gateway's listener for callers. */
const MEMORY_MB = 210;
const BYTES_PER_MB = 1_000_000;
const MAX_DESCRIPTORS = 400;
const MACHINE = { memoryMb: MEMORY_MB, maxDescriptors: MAX_DESCRIPTORS };
const FLAGS = ['--max-old-space-size=192', '--max-semi-space-size=8'];
/** Largest message between daemons, and largest body for the other front, in bytes. */
const MESSAGE_BYTES = 4_000_000;
const FRONT_BODY_BYTES = 1_000_000;
const PIECE = Buffer.alloc(50_000, 'x');
const HOLDER_COUNT = 100;
const FRONT_HOLDER_COUNT = 300;
const IDLE_COUNT = 1_000;

/** Body of which the last piece is held back. */
function* heldBody(
  path: string,
  header: string,
  bytes: number,
): Iterable<string | Buffer> {
  yield `POST ${path} HTTP/1.1\r\nhost: ${SAMPLE_HOST}\r\n${header}\r\ncontent-length: ${bytes}\r\n\r\n`;
  const pieces = bytes / PIECE.length - 1;
  for (let number = 0; number < pieces; number += 1) yield PIECE;
}

/** Returns an address at which nothing listens. */
async function freeAddress(): Promise<string> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const bound = server.address();
  server.close();
  await once(server, 'close');
  return `127.0.0.1:${typeof bound === 'object' ? (bound?.port ?? 0) : 0}`;
}

/** Guards against crowds at the listeners for peers and probes and at the other front that exhaust a process. */
describe('a process before crowds at its other listeners', () => {
  let fixture: ProgramFixture;
  let crowds: CallerCrowd[];

  beforeEach(async () => {
    crowds = [];
    fixture = new ProgramFixture();
    await fixture.start();
  });

  afterEach(() => {
    for (const crowd of crowds) crowd.destroy();
    fixture.destroy();
  });

  function crowdAt(address: string): CallerCrowd {
    const crowd = new CallerCrowd(address);
    crowds.push(crowd);
    return crowd;
  }

  async function statusOf(url: string): Promise<number> {
    const { body, statusCode } = await request(url);
    await body.dump();
    return statusCode;
  }

  function assertWithinMachine(usage: ProgramUsage): void {
    usage.stop();
    const { peakBytes, peakDescriptors } = usage;
    const usedText = `${peakBytes} bytes, ${peakDescriptors} descriptors`;
    assert.ok(peakBytes < MEMORY_MB * BYTES_PER_MB, usedText);
    assert.ok(peakDescriptors < MAX_DESCRIPTORS, usedText);
  }

  it('gateway: messages to the peers, connections to the probes', async () => {
    const [peers, readiness] = [await freeAddress(), await freeAddress()];
    fixture.configureGateway({
      listen: { peers, readiness },
      callers: MACHINE,
    });
    const program = fixture.run('', FLAGS);
    await program.whenServing();
    const usage = new ProgramUsage(program.process.pid ?? 0);
    const message = () => heldBody('/', 'x-signature: none', MESSAGE_BYTES);
    await crowdAt(peers).send(HOLDER_COUNT, message);
    await crowdAt(peers).send(IDLE_COUNT, () => []);
    await crowdAt(readiness).send(IDLE_COUNT, () => []);
    const status = await statusOf(`http://${readiness}/ready`);
    assertWithinMachine(usage);
    assert.equal(status, 200);
  });

  it('other front: bodies and connections of callers', async () => {
    fixture.configureDaemon({}, MACHINE);
    const program = fixture.run('', FLAGS);
    const callers = await program.callers();
    const usage = new ProgramUsage(program.process.pid ?? 0);
    const path = '/v1/chat/completions';
    const body = () => heldBody(path, 'x-a: b', FRONT_BODY_BYTES);
    await crowdAt(callers).send(FRONT_HOLDER_COUNT, body);
    await crowdAt(callers).send(IDLE_COUNT, () => []);
    const status = await statusOf(`http://${callers}/ready`);
    assertWithinMachine(usage);
    assert.equal(status, 200);
  });
});
