import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { request } from 'undici';

import {
  EndpointServer,
  SAMPLE_HOST,
  SAMPLE_KEY,
  sampleCall,
} from '@skylarkreach/platform/stand-ins';

import { CallerCrowd } from './caller-crowd.js';
import { ProgramFixture } from './program-fixture.js';
import { ProgramUsage } from './program-usage.js';

/** Memory of the smallest machine, in units of 1,000,000 bytes. */
const MEMORY_MB = 210;
const BYTES_PER_MB = 1_000_000;
/** Flags of the deployed program that bound its heap. */
const FLAGS = ['--max-old-space-size=192', '--max-semi-space-size=8'];
/** What a daemon may take besides the requests and responses in progress (docs/developers.md). */
const OWN_BYTES = 128 * BYTES_PER_MB;
/** What requests in progress may take of that machine: a sixteenth. */
const REQUEST_BYTES = (MEMORY_MB * BYTES_PER_MB) / 16;
/** What bodies that were read may leave behind. */
const GARBAGE_BYTES = 8_388_608;
const REQUEST_COUNT = 500;
const CROWD_COUNT = 60;
const DEADLINE_MS = 8_000;
const CHUNK_BYTES = 65_536;
const MAX_BODY_BYTES = 4_194_304;
/** Chunks of one body, eight times the largest body. */
const CHUNK_COUNT = (8 * MAX_BODY_BYTES) / CHUNK_BYTES;
const CHUNK = Buffer.from(
  `${CHUNK_BYTES.toString(16)}\r\n${'x'.repeat(CHUNK_BYTES)}\r\n`,
);

function* endlessBody(index: number): Iterable<string | Buffer> {
  yield (
    `POST /postings/a HTTP/1.1\r\nhost: ${SAMPLE_HOST}\r\nkey: ${SAMPLE_KEY}\r\n` +
    `request-id: endless-${index}\r\ndeadline-ms: ${DEADLINE_MS}\r\ntransfer-encoding: chunked\r\n\r\n`
  );
  for (let number = 0; number < CHUNK_COUNT; number += 1) yield CHUNK;
}

/** Guards against memory that neither the limits of requests nor those of responses account for. */
describe('the memory of a gateway process', () => {
  let fixture: ProgramFixture;
  let ledger: EndpointServer;
  let callers: string;
  let usage: ProgramUsage;

  beforeEach(async () => {
    fixture = new ProgramFixture();
    ledger = new EndpointServer({ id: 'ledger-1' });
    await fixture.start();
    fixture.listEndpoint('ledger', await ledger.listen(), 'ledger');
    fixture.configureLimits({ maxBodyBytes: MAX_BODY_BYTES });
    fixture.configureGateway({ callers: { memoryMb: MEMORY_MB } });
    const program = fixture.run('', FLAGS);
    callers = await program.whenServing();
    usage = new ProgramUsage(program.process.pid ?? 0);
  });

  afterEach(() => {
    usage.stop();
    ledger.destroy();
    fixture.destroy();
  });

  async function lookUp(id: string): Promise<number> {
    const { headers, path } = sampleCall(id, DEADLINE_MS, false);
    const response = await request(`http://${callers}${path}`, { headers });
    await response.body.dump();
    return response.statusCode;
  }

  it('keeps within what a daemon may take while it answers plain requests', async () => {
    for (let number = 0; number < REQUEST_COUNT; number += 1)
      assert.equal(await lookUp(`plain-${number}`), 200);
    usage.stop();
    assert.ok(usage.peakBytes < OWN_BYTES, `${usage.peakBytes} bytes`);
  });

  it('holds little more than the bodies in progress of those that it reads', async () => {
    const crowd = new CallerCrowd(callers);
    await crowd.send(CROWD_COUNT, endlessBody);
    const status = await lookUp('ordinary');
    crowd.destroy();
    usage.stop();
    const maxBytes = OWN_BYTES + REQUEST_BYTES + GARBAGE_BYTES;
    assert.ok(usage.peakBytes < maxBytes, `${usage.peakBytes} bytes`);
    assert.equal(status, 200);
  });
});
