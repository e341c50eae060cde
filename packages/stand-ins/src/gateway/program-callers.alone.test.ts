import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { Agent, request } from 'undici';

import {
  EndpointServer,
  SAMPLE_HOST,
  SAMPLE_KEY,
  sampleCall,
} from '@skylarkreach/platform/stand-ins';

import type { CallerScript } from './caller-crowd.js';
import { CallerCrowd } from './caller-crowd.js';
import type { Program } from './program-fixture.js';
import { ProgramFixture } from './program-fixture.js';
import { ProgramUsage } from './program-usage.js';

/** Memory of the smallest machine of the users, in units of 1,000,000 bytes. */
const MEMORY_MB = 210;
const BYTES_PER_MB = 1_000_000;
/** Descriptors of the test's machine, fewer than on any machine of the users so that a small crowd suffices. */
const MAX_DESCRIPTORS = 400;
/** Flags of the deployed program that bound its memory. */
const FLAGS = ['--max-old-space-size=192', '--max-semi-space-size=8'];
/** Largest body that the users' configuration allows, in bytes. */
const MAX_BODY_BYTES = 4_194_304;
const LARGE_CHUNK_BYTES = 65_536;
const TINY_CHUNK_COUNT = 65_000;
/** Tiny chunks that a caller writes at a time. */
const TINY_CHUNKS_PER_WRITE = 1_000;
const HEADER_LINES = 12_000; // 60 kB, less than the parser's limit
const DEADLINE_MS = 8_000;

const LARGE_PIECE = Buffer.alloc(LARGE_CHUNK_BYTES, 'x');
const LARGE_CHUNK = Buffer.concat([
  Buffer.from(`${LARGE_CHUNK_BYTES.toString(16)}\r\n`),
  LARGE_PIECE,
  Buffer.from('\r\n'),
]);
const TINY_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(TINY_CHUNKS_PER_WRITE));

function head(id: string, framing: string): string {
  return (
    `POST /postings/a HTTP/1.1\r\nhost: ${SAMPLE_HOST}\r\nkey: ${SAMPLE_KEY}\r\n` +
    `request-id: ${id}\r\ndeadline-ms: ${DEADLINE_MS}\r\n${framing}\r\n\r\n`
  );
}

const chunkedHead = (index: number) =>
  head(`chunked-${index}`, 'transfer-encoding: chunked');

function* repeat<Piece>(piece: Piece, count: number): Iterable<Piece> {
  for (let number = 0; number < count; number += 1) yield piece;
}

/** Body with a length, of which the last byte is held back. */
function* heldBody(index: number): Iterable<string | Buffer> {
  yield head(`held-${index}`, `content-length: ${MAX_BODY_BYTES}`);
  yield* repeat(LARGE_PIECE, MAX_BODY_BYTES / LARGE_CHUNK_BYTES - 1);
  yield LARGE_PIECE.subarray(1);
}

/** Body of as many large chunks as are allowed, without the chunk that ends it. */
function* largeChunks(index: number): Iterable<string | Buffer> {
  yield chunkedHead(index);
  yield* repeat(LARGE_CHUNK, MAX_BODY_BYTES / LARGE_CHUNK_BYTES);
}

function* tinyChunks(index: number): Iterable<string | Buffer> {
  yield chunkedHead(index);
  yield* repeat(TINY_CHUNKS, TINY_CHUNK_COUNT / TINY_CHUNKS_PER_WRITE);
}

function* overAnnounced(index: number): Iterable<string | Buffer> {
  yield head(`over-${index}`, `content-length: ${8 * MAX_BODY_BYTES}`);
  yield* repeat(LARGE_PIECE, (8 * MAX_BODY_BYTES) / LARGE_CHUNK_BYTES);
}

function* overSent(index: number): Iterable<string | Buffer> {
  yield chunkedHead(index);
  yield* repeat(LARGE_CHUNK, (8 * MAX_BODY_BYTES) / LARGE_CHUNK_BYTES);
}

function* endlessHead(index: number): Iterable<string | Buffer> {
  yield `GET /lookups/a HTTP/1.1\r\nhost: ${SAMPLE_HOST}\r\nrequest-id: h-${index}\r\n`;
  yield 'a:b\r\n'.repeat(HEADER_LINES);
}

/** Requests one after the other, none of which waits for a response. */
function* pipelined(index: number): Iterable<string | Buffer> {
  for (let number = 0; number < 2_000; number += 1)
    yield `${head(`pipelined-${index}-${number}`, 'content-length: 1000')}${'x'.repeat(1_000)}`;
}

function* idle(): Iterable<string> {
  // Connected only.
}

interface Case {
  readonly name: string;
  readonly count: number;
  readonly script: CallerScript;
}

const CASES: readonly Case[] = [
  { name: 'bodies held just short of their end', count: 100, script: heldBody },
  { name: 'bodies of large chunks', count: 100, script: largeChunks },
  { name: 'bodies of tiny chunks', count: 60, script: tinyChunks },
  { name: 'bodies announced over the limit', count: 60, script: overAnnounced },
  { name: 'bodies sent over the limit', count: 60, script: overSent },
  { name: 'endless heads', count: 600, script: endlessHead },
  { name: 'idle connections', count: 1_000, script: idle },
  { name: 'pipelined requests', count: 20, script: pipelined },
];

/** Guards against callers outside the limits that exhaust the memory or the descriptors of a process. */
describe('a gateway process before a crowd of callers outside the limits', () => {
  let fixture: ProgramFixture;
  let ledger: EndpointServer;
  let agent: Agent;
  let crowds: CallerCrowd[];
  let program: Program;
  let callers: string;
  let usage: ProgramUsage;

  beforeEach(async () => {
    crowds = [];
    agent = new Agent();
    ledger = new EndpointServer({ id: 'ledger-1' });
    fixture = new ProgramFixture();
    await fixture.start();
    fixture.listEndpoint('ledger', await ledger.listen(), 'ledger');
    fixture.configureLimits({
      maxBodyBytes: MAX_BODY_BYTES,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
      plainTimeoutMs: DEADLINE_MS,
    });
    fixture.configureGateway({
      callers: { memoryMb: MEMORY_MB, maxDescriptors: MAX_DESCRIPTORS },
    });
    program = fixture.run('', FLAGS);
    callers = await program.whenServing();
    usage = new ProgramUsage(program.process.pid ?? 0);
  });

  afterEach(async () => {
    usage.stop();
    for (const crowd of crowds) crowd.destroy();
    await agent.destroy();
    ledger.destroy();
    fixture.destroy();
  });

  async function sendCrowd({ count, script }: Case): Promise<void> {
    const crowd = new CallerCrowd(callers);
    crowds.push(crowd);
    await crowd.send(count, script);
  }

  async function lookUp(): Promise<number> {
    const { headers, path } = sampleCall('ordinary', DEADLINE_MS, false);
    const options = { headers, dispatcher: agent };
    const response = await request(`http://${callers}${path}`, options);
    await response.body.dump();
    return response.statusCode;
  }

  function assertWithinMachine(): void {
    usage.stop();
    const { peakBytes, peakDescriptors } = usage;
    const usedText = `${peakBytes} bytes, ${peakDescriptors} descriptors`;
    assert.ok(peakBytes < MEMORY_MB * BYTES_PER_MB, usedText);
    assert.ok(peakDescriptors < MAX_DESCRIPTORS, usedText);
  }

  for (const crowd of CASES) {
    it(`lives, keeps within its machine and answers: ${crowd.name}`, async () => {
      await sendCrowd(crowd);
      const status = await lookUp().catch(String);
      const { exitCode, signalCode } = program.process;
      assert.deepEqual([exitCode, signalCode], [null, null]);
      assertWithinMachine();
      assert.equal(status, 200);
    });
  }

  it('stops in order beside a mix of them, and answers once started again', async () => {
    const sent = CASES.map(crowd =>
      sendCrowd({ ...crowd, count: Math.ceil(crowd.count / 4) }),
    );
    program.process.kill('SIGTERM');
    await Promise.all([program.exited, ...sent]);
    assertWithinMachine();
    assert.deepEqual(await program.exited, [0, null]);
    callers = await fixture.run('', FLAGS).whenServing();
    assert.equal(await lookUp(), 200);
  });
});
