import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { cancel } from '@skylarkreach/core/ports';

import { waitForMs } from './system-clock.js';

const LONG_MS = 60_000;

/** Guards against waits that outlive the request that they belong to, or hide why it ended. */
describe('waitForMs', () => {
  it('resolves at its time, and at once if that has passed', async () => {
    await waitForMs(-1);
    await waitForMs(0.1);
  });

  it('rejects with the reason of a signal that is aborted before or meanwhile', async () => {
    const reason = new Error('the request has ended');
    await assert.rejects(waitForMs(LONG_MS, AbortSignal.abort(reason)), reason);
    const controller = new AbortController();
    const wait = waitForMs(LONG_MS, controller.signal);
    controller.abort(reason);
    await assert.rejects(wait, reason);
  });

  it('ends as an aborted wait of Node.js does where it is cancelled without a reason', async () => {
    const controller = new AbortController();
    const wait = waitForMs(LONG_MS, controller.signal);
    cancel(controller);
    await assert.rejects(wait, { name: 'AbortError' });
  });
});
