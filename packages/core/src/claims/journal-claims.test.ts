import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { CLAIM_RESPONSE, ClaimFixture, createIntent } from '../fakes/index.js';
import type { ServiceResponse } from '../ports/index.js';
import { NotSentError } from '../ports/index.js';
import { ClaimError, ClaimErrorKind, ClaimState } from './claims.js';

function isErrorOfKind(kind: ClaimErrorKind) {
  return (error: unknown) => error instanceof ClaimError && error.kind === kind;
}

function rejectDispatch(): Promise<ServiceResponse> {
  return Promise.reject(new Error('dispatched a second time'));
}

describe('JournalClaims', () => {
  it('lets a concurrent retry at another daemon join the first run', async () => {
    const daemons = new ClaimFixture();
    const { clock } = daemons;
    const first = daemons
      .addDaemon('daemon-1')
      .run(createIntent('key-1'), async () => {
        await clock.waitUntil(5_000);
        return CLAIM_RESPONSE;
      });
    await clock.advanceTo(1_500);
    const retry = daemons
      .addDaemon('daemon-2')
      .run(createIntent('key-1'), rejectDispatch);
    await clock.advanceTo(8_000);
    assert.deepEqual(await first, CLAIM_RESPONSE);
    assert.deepEqual(await retry, CLAIM_RESPONSE);
  });

  it('returns the response of the run in progress to a retry at the same daemon', async () => {
    const daemons = new ClaimFixture();
    const claims = daemons.addDaemon('daemon-1');
    const first = claims.run(createIntent('key-1'), async () => {
      await daemons.clock.waitUntil(3_000);
      return CLAIM_RESPONSE;
    });
    const retry = claims.run(createIntent('key-1'), rejectDispatch);
    const reused = claims.run(
      createIntent('key-1', { bodyHash: 'hash-2' }),
      rejectDispatch,
    );
    await assert.rejects(reused, isErrorOfKind(ClaimErrorKind.KeyReused));
    await daemons.clock.advanceTo(4_000);
    assert.deepEqual(await first, await retry);
  });

  it('rejects a retry as in progress if its deadline passes before the run ends', async () => {
    const daemons = new ClaimFixture();
    void daemons.addDaemon('daemon-1').run(createIntent('key-1'), async () => {
      await daemons.clock.waitUntil(15_000);
      return CLAIM_RESPONSE;
    });
    await daemons.clock.advanceTo(1_500);
    const retry = daemons
      .addDaemon('daemon-2')
      .run(createIntent('key-1', { deadlineAtMs: 3_000 }), rejectDispatch);
    const rejection = assert.rejects(
      retry,
      isErrorOfKind(ClaimErrorKind.InProgress),
    );
    await daemons.clock.advanceTo(3_000);
    await rejection;
  });

  it('answers later retries from the journal, and rejects another body', async () => {
    const daemons = new ClaimFixture();
    await daemons
      .addDaemon('daemon-1')
      .run(createIntent('key-1'), () => Promise.resolve(CLAIM_RESPONSE));
    const other = daemons.addDaemon('daemon-2');
    assert.deepEqual(
      await other.run(createIntent('key-1'), rejectDispatch),
      CLAIM_RESPONSE,
    );
    await assert.rejects(
      other.run(createIntent('key-1', { bodyHash: 'hash-2' }), rejectDispatch),
      isErrorOfKind(ClaimErrorKind.KeyReused),
    );
  });

  it('lets a call that was not sent be claimed again under the same key', async () => {
    const daemons = new ClaimFixture();
    await assert.rejects(
      daemons
        .addDaemon('daemon-1')
        .run(createIntent('key-1'), () =>
          Promise.reject(new NotSentError('refused')),
        ),
      isErrorOfKind(ClaimErrorKind.NotRun),
    );
    const other = daemons.addDaemon('daemon-2');
    assert.equal(
      (await other.find('northside', 'key-1'))?.state,
      ClaimState.NotRun,
    );
    assert.deepEqual(
      await other.run(createIntent('key-1'), () =>
        Promise.resolve(CLAIM_RESPONSE),
      ),
      CLAIM_RESPONSE,
    );
    assert.equal(
      (await other.find('northside', 'key-1'))?.state,
      ClaimState.Ran,
    );
  });

  it('records a run without its response if that exceeds the size limit', async () => {
    const daemons = new ClaimFixture({ maxResponseBytes: 10 });
    const first = daemons.addDaemon('daemon-1');
    await first.run(createIntent('key-1'), () =>
      Promise.resolve(CLAIM_RESPONSE),
    );
    await assert.rejects(
      daemons.addDaemon('daemon-2').run(createIntent('key-1'), rejectDispatch),
      isErrorOfKind(ClaimErrorKind.ResponseNotKept),
    );
  });

  it('keeps one write in flight and batches later claims into the next', async () => {
    const daemons = new ClaimFixture();
    const claims = daemons.addDaemon('daemon-1');
    const runs = Array.from({ length: 50 }, (_, index) =>
      claims.run(createIntent(`key-${index}`), () =>
        Promise.resolve(CLAIM_RESPONSE),
      ),
    );
    await daemons.clock.advanceTo(2_000);
    await Promise.all(runs);
    const entry = await daemons.store.get('claims/journal/0');
    assert.ok((entry?.version ?? 0) <= 4, `${entry?.version ?? 0} writes`);
  });

  it('rejects new claims before the value exceeds its limit, and completes the pending ones', async () => {
    const maxJournalBytes = 2_000;
    const daemons = new ClaimFixture({ maxJournalBytes });
    const claims = daemons.addDaemon('daemon-1');
    const runs = Array.from({ length: 20 }, (_, index) =>
      claims.run(createIntent(`key-${index}`), () =>
        Promise.resolve(CLAIM_RESPONSE),
      ),
    );
    const results = Promise.allSettled(runs);
    await daemons.clock.advanceTo(2_000);
    const rejected = (await results).filter(
      result => result.status === 'rejected',
    );
    assert.ok(rejected.length > 0 && rejected.length < runs.length);
    for (const result of rejected) {
      assert.ok(isErrorOfKind(ClaimErrorKind.JournalFull)(result.reason));
    }
    const entry = await daemons.store.get('claims/journal/0');
    assert.ok(Buffer.byteLength(entry?.value ?? '') <= maxJournalBytes);
  });

  it('deletes claims after their stored retention time', async () => {
    const daemons = new ClaimFixture();
    const claims = daemons.addDaemon('daemon-1');
    const run = (key: string, deadlineAtMs: number) =>
      claims.run(createIntent(key, { deadlineAtMs }), () =>
        Promise.resolve(CLAIM_RESPONSE),
      );
    await run('key-1', 20_000);
    await daemons.clock.advanceTo(60_000);
    await run('key-2', 80_000);
    assert.notEqual(await claims.find('northside', 'key-1'), undefined);
    await daemons.clock.advanceTo(72_000);
    await run('key-3', 90_000);
    assert.equal(await claims.find('northside', 'key-1'), undefined);
    assert.notEqual(await claims.find('northside', 'key-2'), undefined);
  });
});
