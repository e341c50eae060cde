import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { noopLog, noopMetrics, SeededRandom } from '../ports/index.js';
import { RequestQuarantine } from './request-quarantine.js';

const SEED = 20_261_204;
/** Time that a request takes until its endpoint crashes. */
const IN_FLIGHT_MS = 40;
/** Time after which crashes are judged. */
const SETTLED_MS = 1_000;

/** Spread over a large deployment, as the users bound it. */
const LARGE = {
  daemons: 64,
  contactMs: 4_000,
  crashes: 5,
  /** Requests that may reach endpoints later than `contactMs` after these crashes. */
  maxLateRequests: 3,
};
/** Exchange of hints between daemons. */
const EXCHANGE_INTERVAL_MS = 500;
const EXCHANGE_FAN_OUT = 4;

let requestCount = 0;

/** Returns the ids of a request of its own with the given prompt parts. */
function idsOf(...partIds: readonly string[]): string[] {
  requestCount += 1;
  return [...partIds, `request/${requestCount}`];
}

/** Quarantines of several daemons with one clock. */
class QuarantineHarness {
  nowMs = 0;
  readonly daemons: RequestQuarantine[];

  constructor(count: number) {
    this.daemons = Array.from({ length: count }, () => {
      return new RequestQuarantine({
        nowMs: () => this.nowMs,
        log: noopLog,
        metrics: noopMetrics,
      });
    });
  }

  get first(): RequestQuarantine {
    return this.at(0);
  }

  at(index: number): RequestQuarantine {
    const daemon = this.daemons[index % this.daemons.length];
    assert.ok(daemon);
    return daemon;
  }

  /** Sends each daemon's hints to each other one. */
  exchange(): void {
    for (const from of this.daemons) {
      for (const to of this.daemons) {
        if (to !== from) to.applyPeer(from.hints());
      }
    }
  }

  /** Records that an endpoint crashed under a request sent `inFlightMs` before. */
  crash(
    daemon: RequestQuarantine,
    endpointId: string,
    suspectIds: readonly string[],
    inFlightMs = IN_FLIGHT_MS,
  ): void {
    const atMs = this.nowMs;
    const sentAtMs = atMs - inFlightMs;
    daemon.recordCrash({ endpointId, suspectIds, sentAtMs, atMs });
  }

  isBlocked(...ids: readonly string[]): boolean[] {
    return this.daemons.map(
      each => each.blockedForMs(idsOf(...ids)) !== undefined,
    );
  }
}

describe('RequestQuarantine', () => {
  it('blocks a part at all daemons after three endpoints have crashed under it at different ones', () => {
    const harness = new QuarantineHarness(3);
    for (let index = 0; index < 3; index += 1) {
      harness.nowMs += 300;
      const parts = idsOf('common', 'bad', `u${index}`);
      harness.crash(harness.at(index), `e${index}`, parts);
      harness.first.recordCompleted(idsOf('common', 'sound'));
    }
    harness.exchange();
    assert.deepEqual(harness.isBlocked('bad'), [false, false, false]);
    harness.nowMs += SETTLED_MS;
    harness.exchange();
    harness.exchange();
    assert.deepEqual(harness.isBlocked('bad'), [true, true, true]);
    assert.deepEqual(harness.isBlocked('common'), [false, false, false]);
    assert.deepEqual(harness.isBlocked('u1'), [false, false, false]);
  });

  it('blocks a request, not its route, after it has crashed three endpoints right after one another', () => {
    const harness = new QuarantineHarness(3);
    const bad = ['request/bad'];
    for (let index = 0; index < 3; index += 1) {
      harness.nowMs += 60;
      harness.crash(harness.at(index), `e${index}`, bad);
      // A sound request that ran beside and is not sent again.
      harness.crash(harness.at(index + 1), `e${index}`, idsOf());
    }
    harness.nowMs += SETTLED_MS;
    harness.exchange();
    harness.exchange();
    for (const daemon of harness.daemons) {
      assert.notEqual(daemon.blockedForMs(bad), undefined);
    }
    assert.deepEqual(harness.isBlocked(), [false, false, false]);
  });

  it('does not block a request that was in flight at endpoints that ended at one moment', () => {
    const harness = new QuarantineHarness(1);
    const popular = ['request/popular'];
    for (let index = 0; index < 4; index += 1) {
      harness.nowMs += 10;
      harness.crash(harness.first, `e${index}`, popular);
    }
    harness.nowMs += SETTLED_MS;
    harness.first.hints();
    assert.equal(harness.first.blockedForMs(popular), undefined);
  });

  it('does not block a request that is completed at another daemon between the crashes', () => {
    const harness = new QuarantineHarness(2);
    const popular = ['request/popular'];
    for (let index = 0; index < 6; index += 1) {
      harness.nowMs += 300;
      harness.crash(harness.first, `e${index}`, popular);
      harness.nowMs += 300;
      harness.at(1).recordCompleted(popular);
      harness.exchange();
    }
    harness.nowMs += SETTLED_MS;
    harness.exchange();
    assert.equal(harness.first.blockedForMs(popular), undefined);
  });

  /** Has the first daemon take endpoints for crashed under a request, and the second one complete another request there. */
  function crashBesideService(sentAfterMs: number): QuarantineHarness {
    const harness = new QuarantineHarness(2);
    for (let index = 0; index < 6; index += 1) {
      harness.nowMs += 300;
      harness.crash(harness.first, `e${index}`, ['request/popular']);
      const sentAtMs = harness.nowMs + sentAfterMs;
      harness.nowMs += 300;
      const endpointId = `e${index}`;
      harness.at(1).recordCompleted(idsOf(), { endpointId, sentAtMs });
      harness.exchange();
      harness.exchange();
    }
    harness.nowMs += SETTLED_MS;
    harness.exchange();
    return harness;
  }

  // A daemon that was cut off from some endpoints took responses that it lost there for crashes.
  it('does not count crashes at endpoints that complete requests of other daemons afterwards', () => {
    const harness = crashBesideService(50);
    for (const daemon of harness.daemons)
      assert.equal(daemon.blockedForMs(['request/popular']), undefined);
  });

  it('counts crashes at endpoints from which late daemons read what was sent before', () => {
    const harness = crashBesideService(-20);
    for (const daemon of harness.daemons)
      assert.notEqual(daemon.blockedForMs(['request/popular']), undefined);
  });

  it('counts later crashes of endpoints that were once taken for crashed', () => {
    const harness = crashBesideService(50);
    harness.nowMs += 2_500;
    for (let index = 0; index < 3; index += 1) {
      harness.nowMs += 300;
      harness.crash(harness.first, `e${index}`, ['request/popular']);
      harness.exchange();
    }
    harness.nowMs += SETTLED_MS;
    harness.exchange();
    harness.exchange();
    for (const daemon of harness.daemons)
      assert.notEqual(daemon.blockedForMs(['request/popular']), undefined);
  });

  it('passes on the crashes that say most where one message cannot hold all', () => {
    const harness = new QuarantineHarness(2);
    const bad = ['request/bad'];
    for (let index = 0; index < 3; index += 1) {
      harness.nowMs += 300;
      harness.crash(harness.first, `e${index}`, bad);
      for (let beside = 0; beside < 40; beside += 1) {
        harness.crash(harness.first, `e${index}`, idsOf());
      }
    }
    harness.at(1).applyPeer(harness.first.hints());
    harness.nowMs += SETTLED_MS;
    harness.at(1).hints();
    assert.notEqual(harness.at(1).blockedForMs(bad), undefined);
  });

  it('does not block a part that a request completes between the crashes', () => {
    const harness = new QuarantineHarness(1);
    for (let index = 0; index < 10; index += 1) {
      harness.nowMs += 300;
      harness.crash(harness.first, `e${index}`, idsOf('common'));
      harness.nowMs += 300;
      harness.first.recordCompleted(idsOf('common'));
    }
    harness.nowMs += SETTLED_MS;
    harness.exchange();
    harness.first.hints();
    assert.deepEqual(harness.isBlocked('common'), [false]);
  });

  it('does not block a part because many endpoints end at one moment', () => {
    const harness = new QuarantineHarness(1);
    for (let index = 0; index < 10; index += 1) {
      harness.nowMs += 2;
      harness.crash(harness.first, `e${index}`, idsOf('common'));
    }
    harness.nowMs += SETTLED_MS;
    harness.first.hints();
    assert.deepEqual(harness.isBlocked('common'), [false]);
  });

  it('blames the part that all crashes share, not the parts of requests beside it', () => {
    const harness = new QuarantineHarness(1);
    for (let index = 0; index < 6; index += 1) {
      harness.nowMs += 300;
      harness.crash(harness.first, `e${index}`, idsOf('common', 'bad'));
      const beside = index < 3 ? idsOf('common', 'beside') : idsOf('common');
      harness.crash(harness.first, `e${index}`, beside);
    }
    harness.nowMs += SETTLED_MS;
    harness.first.hints();
    assert.deepEqual(harness.isBlocked('bad'), [true]);
    assert.deepEqual(harness.isBlocked('beside'), [false]);
    assert.deepEqual(harness.isBlocked('common'), [false]);
  });

  it('keeps the part from all endpoints within the contact time where 64 daemons exchange hints with few peers', () => {
    for (const requestsPerSecond of [2, 20]) {
      const harness = new QuarantineHarness(LARGE.daemons);
      const random = new SeededRandom(SEED);
      const anyDaemon = () => harness.at(random.nextInteger(LARGE.daemons));
      const crashedAtMs: number[] = [];
      let lateRequests = 0;
      for (let step = 0; step < 1_000; step += 1) {
        harness.nowMs += 10;
        harness.daemons.forEach((daemon, index) => {
          if ((step * 10 + index * 7) % EXCHANGE_INTERVAL_MS >= 10) return;
          for (let sent = 0; sent < EXCHANGE_FAN_OUT; sent += 1) {
            const peer = anyDaemon();
            peer.applyPeer(daemon.hints());
            daemon.applyPeer(peer.hints());
          }
        });
        anyDaemon().recordCompleted(idsOf('common', 'sound'));
        if (random.nextFloat() * 100 >= requestsPerSecond) continue;
        const daemon = anyDaemon();
        const bad = idsOf('common', 'bad');
        if (daemon.blockedForMs(bad) !== undefined) continue;
        const fifthAtMs = crashedAtMs[LARGE.crashes - 1] ?? Infinity;
        if (harness.nowMs > fifthAtMs + LARGE.contactMs) lateRequests += 1;
        const endpointId = `e${crashedAtMs.length}`;
        crashedAtMs.push(harness.nowMs);
        harness.crash(daemon, endpointId, bad);
        harness.crash(anyDaemon(), endpointId, idsOf('common', 'sound'));
      }
      assert.ok(lateRequests <= LARGE.maxLateRequests);
      assert.ok(harness.isBlocked('bad').every(isBlocked => isBlocked));
      assert.ok(harness.isBlocked('common', 'sound').every(each => !each));
    }
  });

  it('accepts requests again when the block ends', () => {
    const harness = new QuarantineHarness(2);
    for (let index = 0; index < 3; index += 1) {
      harness.nowMs += 300;
      harness.crash(harness.first, `e${index}`, idsOf('bad'));
    }
    harness.nowMs += SETTLED_MS;
    harness.exchange();
    const blockedForMs = harness.first.blockedForMs(idsOf('bad')) ?? 0;
    harness.nowMs += blockedForMs - 1;
    assert.deepEqual(harness.isBlocked('bad'), [true, true]);
    harness.exchange();
    harness.nowMs += SETTLED_MS;
    assert.deepEqual(harness.isBlocked('bad'), [false, false]);
  });

  it('blocks exactly the part at fault, whatever the order and loss of hints', () => {
    const request = fc.record({
      daemon: fc.nat(4),
      isBad: fc.boolean(),
      topic: fc.nat(3),
    });
    const round = fc.record({
      requests: fc.array(request, { minLength: 3, maxLength: 6 }),
      /** Pairs of daemons whose exchange is lost in this round. */
      lost: fc.array(fc.tuple(fc.nat(4), fc.nat(4)), { maxLength: 8 }),
    });
    fc.assert(
      fc.property(fc.array(round, { minLength: 16, maxLength: 24 }), rounds => {
        const harness = new QuarantineHarness(5);
        rounds.forEach(({ lost, requests }, roundIndex) => {
          requests.forEach(({ daemon, isBad, topic }, index) => {
            harness.nowMs += 110;
            const quarantine = harness.at(daemon);
            const sound = idsOf('common', `topic-${topic}`);
            const bad = idsOf('common', `topic-${topic}`, 'bad');
            const isSent = quarantine.blockedForMs(bad) === undefined;
            const isCrash = isSent && (isBad || index === 0);
            if (isCrash) {
              const endpoint = `e${roundIndex}-${index}`;
              harness.crash(quarantine, endpoint, bad);
              // A sound request that the same endpoint served.
              harness.crash(harness.at(daemon + 1), endpoint, sound);
            }
            harness.at(daemon + 2).recordCompleted(sound);
          });
          harness.daemons.forEach((from, fromIndex) => {
            harness.daemons.forEach((to, toIndex) => {
              const isLost = lost.some(
                ([a, b]) => a === fromIndex && b === toIndex,
              );
              if (from !== to && !isLost) to.applyPeer(from.hints());
            });
          });
        });
        assert.ok(harness.isBlocked('bad').every(isBlocked => isBlocked));
        for (let topic = 0; topic < 4; topic += 1) {
          const blocked = harness.isBlocked('common', `topic-${topic}`);
          assert.ok(blocked.every(isBlocked => !isBlocked));
        }
      }),
      { seed: SEED },
    );
  });
});
