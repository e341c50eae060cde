import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import { describe, it } from 'node:test';

import { ManualClock } from '@skylarkreach/core/ports';

import { writeToCaller } from './write-to-caller.js';

/** Response whose buffer is full. */
class FullResponse extends EventEmitter {
  readonly left = new AbortController();

  write(): boolean {
    return false;
  }

  destroy(): void {
    this.left.abort();
  }
}

describe('writeToCaller', () => {
  it('closes the connection of a caller that does not read, which would hold up the stop of the daemon', async () => {
    const clock = new ManualClock(0);
    const response = new FullResponse();
    const { signal } = response.left;
    const stuck = response as unknown as ServerResponse;
    const read = writeToCaller(stuck, 'a', clock, signal);
    await clock.advanceTo(29_000);
    response.emit('drain');
    await read;
    const unread = assert.rejects(writeToCaller(stuck, 'b', clock, signal), {
      name: 'AbortError',
    });
    await clock.advanceTo(58_999);
    assert.equal(signal.aborted, false);
    await clock.advanceTo(59_000);
    await unread;
  });
});
