import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { LoadReports } from './load-reports.js';

const LOAD = { running: 3, waiting: 1, slots: 16, slowdown: 2.5 };
const START_MS = 1_000_000;

/** Reports of a daemon whose steady clock starts at `offsetMs`. */
function createReports(clock: { atMs: number }, offsetMs = 0): LoadReports {
  return new LoadReports({
    nowMs: () => clock.atMs - START_MS + offsetMs,
    clusterMs: () => clock.atMs,
  });
}

describe('LoadReports', () => {
  it('passes a report on with its age, however many daemons hold it and however long it is in transit', () => {
    const clock = { atMs: START_MS };
    const daemons = [0, 500, 90_000].map(ms => createReports(clock, ms));
    const [first, second, third] = daemons;
    assert.ok(first && second && third);
    first.record('a', LOAD);
    clock.atMs += 300;
    const message = first.hints();
    clock.atMs += 200;
    second.applyPeer(message);
    third.applyPeer(second.hints());
    const known = third.newest('a');
    assert.deepEqual(known?.load, LOAD);
    assert.equal(clock.atMs - START_MS + 90_000 - known.receivedAtMs, 500);
  });

  it('keeps a newer report when an older one comes back through peers', () => {
    const clock = { atMs: START_MS };
    const own = createReports(clock);
    const peer = createReports(clock);
    own.record('a', LOAD);
    peer.applyPeer(own.hints());
    clock.atMs += 100;
    own.record('a', { ...LOAD, running: 9 });
    const late = peer.hints();
    clock.atMs += 300;
    own.applyPeer(late);
    assert.equal(own.newest('a')?.load.running, 9);
  });

  // The average of an endpoint that once reported such a load was not a number from then on.
  it('leaves out a load whose sum is not finite', () => {
    const reports = createReports({ atMs: START_MS });
    const most = Number.MAX_VALUE;
    reports.record('a', { ...LOAD, running: most, waiting: most });
    assert.equal(reports.newest('a'), undefined);
  });

  it('leaves out lines of another build and messages that it cannot use', () => {
    const reports = createReports({ atMs: START_MS });
    const lines = ['', 'a', '0 b 1 x 3 ', '0 c 1 -2 3 ', '0 d 1 0 16  novel'];
    reports.applyPeer({ atMs: START_MS, reports: lines.join('\n') });
    reports.applyPeer({ atMs: START_MS + 60_000, reports: '0 e 1 0 16 ' });
    const known = ['a', 'b', 'c', 'd', 'e'].filter(id => reports.newest(id));
    assert.deepEqual(known, ['d']);
    assert.deepEqual(reports.newest('d')?.load, {
      running: 1,
      waiting: 0,
      slots: 16,
    });
  });

  it('reads the lines of a message that it can use, whatever is beside them', () => {
    const line = fc.oneof(
      fc.string(),
      fc.stringMatching(/^\d{1,4} b( -?\d(e30\d)?){0,5}$/),
    );
    const property = fc.property(
      fc.array(line, { maxLength: 9 }),
      fc.double(),
      (lines, atMs) => {
        const reports = createReports({ atMs: START_MS });
        const message = [...lines, '0 a 3 1 16 250', ...lines].join('\n');
        reports.applyPeer({ atMs, reports: message });
        reports.applyPeer({ atMs: START_MS, reports: message });
        assert.deepEqual(reports.newest('a')?.load, LOAD);
        const other = reports.newest('b') ?? { averageActive: 0 };
        assert.ok(Number.isFinite(other.averageActive));
      },
    );
    fc.assert(property, { seed: 1, numRuns: 1_000 });
  });

  it('bounds its messages, and passes on no report that is too old to be of use', () => {
    const clock = { atMs: START_MS };
    const reports = createReports(clock);
    reports.record('old', LOAD);
    clock.atMs += 2_000;
    for (let index = 0; index < 1_000; index += 1)
      reports.record(`endpoint-${index}`, LOAD);
    const lines = reports.hints().reports.split('\n');
    assert.equal(lines.length, 128);
    assert.ok(lines.every(line => !line.includes(' old ')));
    assert.ok(lines.some(line => line.includes(' endpoint-999 ')));
  });

  it('agrees on the newest report of each endpoint after any exchanges, once all have exchanged in turn', () => {
    const step = fc.record({
      isReport: fc.boolean(),
      from: fc.integer({ min: 0, max: 2 }),
      to: fc.integer({ min: 0, max: 2 }),
      endpoint: fc.constantFrom('a', 'b'),
      running: fc.integer({ min: 0, max: 50 }),
      passesMs: fc.integer({ min: 1, max: 20 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), steps => {
        const clock = { atMs: START_MS };
        const daemons = [0, 1, 2].map(ms => createReports(clock, ms));
        const newest = new Map<string, number>();
        for (const {
          endpoint,
          from,
          isReport,
          passesMs,
          running,
          to,
        } of steps) {
          clock.atMs += passesMs;
          if (isReport) {
            daemons[from]?.record(endpoint, { ...LOAD, running });
            newest.set(endpoint, running);
          } else {
            const message = daemons[from]?.hints();
            if (message) daemons[to]?.applyPeer(message);
          }
        }
        for (const from of daemons)
          for (const to of daemons) to.applyPeer(from.hints());
        for (const from of daemons)
          for (const to of daemons) to.applyPeer(from.hints());
        for (const daemon of daemons)
          for (const [endpoint, running] of newest)
            assert.equal(daemon.newest(endpoint)?.load.running, running);
      }),
      { seed: 4, numRuns: 200 },
    );
  });
});
