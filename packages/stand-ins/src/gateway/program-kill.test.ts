import assert from 'node:assert/strict';
import { after, afterEach, before, describe, it } from 'node:test';

import { EndpointMode } from '@skylarkreach/platform/stand-ins';

import { ProgramFixture, StreamCall } from './program-fixture.js';

/** More requests than a daemon sends before it has learned anything. */
const CROWD = 100;

describe('a gateway process that is killed within the stream of an endpoint', () => {
  const fixture = new ProgramFixture();
  before(() => fixture.start());
  afterEach(() => {
    fixture.killAll();
  });
  after(() => {
    fixture.destroy();
  });

  for (const mode of [EndpointMode.EndsCloseDelimited, EndpointMode.Responds]) {
    // The system closes the connections of a killed process in order, which completed a close-delimited stream.
    it(`leaves the caller with a stream that is incomplete: the endpoint ${mode}`, async () => {
      const program = fixture.run();
      const callers = await program.whenServing();
      fixture.engine.mode = mode;
      const stream = new StreamCall(callers);
      await stream.whenBegun();
      program.process.kill('SIGKILL');
      await stream.closed;
      assert.match(stream.received, /\r\ntransfer-encoding: chunked\r\n/i);
      assert.doesNotMatch(stream.received, /\r\n0\r\n\r\n$/);
      fixture.engine.mode = EndpointMode.Responds;
    });
  }

  it('leaves the callers whose requests wait in its queue with a closed connection and no response', async () => {
    fixture.configureGateway({ queue: { isEnabled: true } });
    const program = fixture.run();
    const callers = await program.whenServing();
    const streams = Array.from(
      { length: CROWD },
      () => new StreamCall(callers),
    );
    await Promise.any(streams.map(each => each.whenBegun()));
    program.process.kill('SIGKILL');
    await Promise.allSettled(streams.map(each => each.closed)); // some are reset
    for (const { received } of streams)
      assert.doesNotMatch(received, /\r\n0\r\n\r\n$/);
    assert.ok(streams.some(each => each.received === ''));
    fixture.configureGateway({});
  });

  it('completes a close-delimited stream when it is not killed', async () => {
    const callers = await fixture.run().whenServing();
    fixture.engine.mode = EndpointMode.EndsCloseDelimited;
    const stream = new StreamCall(callers);
    await stream.closed;
    assert.match(stream.received, /id: 10\n.*\r\n0\r\n\r\n$/s);
  });
});
