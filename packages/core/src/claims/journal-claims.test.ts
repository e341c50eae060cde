import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { CLAIM_RESPONSE, ClaimDaemons, intentOf } from '../fakes/index.js';
import type { ServiceResponse } from '../ports/index.js';
import { NotSentError } from '../ports/index.js';
import { ClaimError, ClaimErrorKind, ClaimState } from './claims.js';

function hasKind(kind: ClaimErrorKind) {
  return (error: unknown) => error instanceof ClaimError && error.kind === kind;
}

function mustNotRun(): Promise<ServiceResponse> {
  return Promise.reject(new Error('dispatched a second time'));
}

describe('JournalClaims', () => {
  it('lets a retry at another daemon at the same moment join the first run', async () => {
    const daemons = new ClaimDaemons();
    const { clock } = daemons;
    const first = daemons.add('daemon-1').run(intentOf('key-1'), async () => {
      await clock.waitUntil(5_000);
      return CLAIM_RESPONSE;
    });
    await clock.advanceTo(1_500);
    const retry = daemons.add('daemon-2').run(intentOf('key-1'), mustNotRun);
    await clock.advanceTo(8_000);
    assert.deepEqual(await first, CLAIM_RESPONSE);
    assert.deepEqual(await retry, CLAIM_RESPONSE);
  });

  it('answers a retry at the same daemon from the run under way', async () => {
    const daemons = new ClaimDaemons();
    const claims = daemons.add('daemon-1');
    const first = claims.run(intentOf('key-1'), async () => {
      await daemons.clock.waitUntil(3_000);
      return CLAIM_RESPONSE;
    });
    const retry = claims.run(intentOf('key-1'), mustNotRun);
    const reused = claims.run(
      intentOf('key-1', { bodyHash: 'hash-2' }),
      mustNotRun,
    );
    await assert.rejects(reused, hasKind(ClaimErrorKind.KeyReused));
    await daemons.clock.advanceTo(4_000);
    assert.deepEqual(await first, await retry);
  });

  it('tells a retry whose deadline comes first that the run is under way', async () => {
    const daemons = new ClaimDaemons();
    void daemons.add('daemon-1').run(intentOf('key-1'), async () => {
      await daemons.clock.waitUntil(15_000);
      return CLAIM_RESPONSE;
    });
    await daemons.clock.advanceTo(1_500);
    const retry = daemons
      .add('daemon-2')
      .run(intentOf('key-1', { deadlineAtMs: 3_000 }), mustNotRun);
    const told = assert.rejects(retry, hasKind(ClaimErrorKind.InProgress));
    await daemons.clock.advanceTo(3_000);
    await told;
  });

  it('answers later retries from the journal, and refuses another body', async () => {
    const daemons = new ClaimDaemons();
    await daemons
      .add('daemon-1')
      .run(intentOf('key-1'), () => Promise.resolve(CLAIM_RESPONSE));
    const other = daemons.add('daemon-2');
    assert.deepEqual(
      await other.run(intentOf('key-1'), mustNotRun),
      CLAIM_RESPONSE,
    );
    await assert.rejects(
      other.run(intentOf('key-1', { bodyHash: 'hash-2' }), mustNotRun),
      hasKind(ClaimErrorKind.KeyReused),
    );
  });

  it('lets a call that was not sent be claimed again under its key', async () => {
    const daemons = new ClaimDaemons();
    await assert.rejects(
      daemons
        .add('daemon-1')
        .run(intentOf('key-1'), () =>
          Promise.reject(new NotSentError('refused')),
        ),
      hasKind(ClaimErrorKind.NotRun),
    );
    const other = daemons.add('daemon-2');
    assert.equal(
      (await other.find('northside', 'key-1'))?.state,
      ClaimState.NotRun,
    );
    assert.deepEqual(
      await other.run(intentOf('key-1'), () => Promise.resolve(CLAIM_RESPONSE)),
      CLAIM_RESPONSE,
    );
    assert.equal(
      (await other.find('northside', 'key-1'))?.state,
      ClaimState.Ran,
    );
  });

  it('records a run whose response is over the bound without the response', async () => {
    const daemons = new ClaimDaemons({ maxResponseBytes: 10 });
    const first = daemons.add('daemon-1');
    await first.run(intentOf('key-1'), () => Promise.resolve(CLAIM_RESPONSE));
    await assert.rejects(
      daemons.add('daemon-2').run(intentOf('key-1'), mustNotRun),
      hasKind(ClaimErrorKind.ResponseNotKept),
    );
  });

  it('keeps one write in flight and puts later claims into the next', async () => {
    const daemons = new ClaimDaemons();
    const claims = daemons.add('daemon-1');
    const runs = Array.from({ length: 50 }, (_, index) =>
      claims.run(intentOf(`key-${index}`), () =>
        Promise.resolve(CLAIM_RESPONSE),
      ),
    );
    await daemons.clock.advanceTo(2_000);
    await Promise.all(runs);
    const entry = await daemons.store.get('claims/journal/0');
    assert.ok((entry?.version ?? 0) <= 4, `${entry?.version ?? 0} writes`);
  });

  it('refuses new claims before the value passes its limit, and ends the open ones', async () => {
    const maxJournalBytes = 2_000;
    const daemons = new ClaimDaemons({ maxJournalBytes });
    const claims = daemons.add('daemon-1');
    const runs = Array.from({ length: 20 }, (_, index) =>
      claims.run(intentOf(`key-${index}`), () =>
        Promise.resolve(CLAIM_RESPONSE),
      ),
    );
    const ended = Promise.allSettled(runs);
    await daemons.clock.advanceTo(2_000);
    const refused = (await ended).filter(each => each.status === 'rejected');
    assert.ok(refused.length > 0 && refused.length < runs.length);
    for (const each of refused) {
      assert.ok(hasKind(ClaimErrorKind.JournalFull)(each.reason));
    }
    const entry = await daemons.store.get('claims/journal/0');
    assert.ok(Buffer.byteLength(entry?.value ?? '') <= maxJournalBytes);
  });

  it('drops claims by their stored time', async () => {
    const daemons = new ClaimDaemons();
    const claims = daemons.add('daemon-1');
    const run = (key: string, deadlineAtMs: number) =>
      claims.run(intentOf(key, { deadlineAtMs }), () =>
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
