import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import type { PromptPart } from '../forwarding/index.js';
import { noopLog, noopMetrics, SeededRandom } from '../ports/index.js';
import { PromptQuarantine } from './prompt-quarantine.js';

const SEED = 20_261_204;
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

function prompt(...ids: readonly string[]): PromptPart[] {
  return [...ids, 'own'].map(id => ({ id, tokens: 100 }));
}

/** Quarantines of several daemons with one clock. */
class QuarantineHarness {
  nowMs = 0;
  readonly daemons: PromptQuarantine[];

  constructor(count: number) {
    this.daemons = Array.from({ length: count }, () => {
      return new PromptQuarantine({
        nowMs: () => this.nowMs,
        log: noopLog,
        metrics: noopMetrics,
      });
    });
  }

  get first(): PromptQuarantine {
    return this.at(0);
  }

  at(index: number): PromptQuarantine {
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

  isBlocked(...ids: readonly string[]): boolean[] {
    return this.daemons.map(
      each => each.blockedForMs(prompt(...ids)) !== undefined,
    );
  }
}

describe('PromptQuarantine', () => {
  it('blocks a part at all daemons after three endpoints have crashed under it at different ones', () => {
    const harness = new QuarantineHarness(3);
    for (let index = 0; index < 3; index += 1) {
      harness.nowMs += 300;
      const parts = prompt('common', 'bad', `u${index}`);
      harness.at(index).recordCrash(`e${index}`, parts);
      harness.first.recordCompleted(prompt('common', 'sound'));
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

  it('rejects a part only as one that requests share, not as the last of a prompt', () => {
    const { first } = new QuarantineHarness(1);
    for (let index = 0; index < 5; index += 1) {
      first.recordCrash(`e${index}`, [{ id: 'own', tokens: 1 }]);
    }
    assert.deepEqual(first.hints().crashes, []);
  });

  it('does not block a part that a request completes between the crashes', () => {
    const harness = new QuarantineHarness(1);
    for (let index = 0; index < 10; index += 1) {
      harness.nowMs += 300;
      harness.first.recordCrash(`e${index}`, prompt('common'));
      harness.nowMs += 300;
      harness.first.recordCompleted(prompt('common'));
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
      harness.first.recordCrash(`e${index}`, prompt('common'));
    }
    harness.nowMs += SETTLED_MS;
    harness.first.hints();
    assert.deepEqual(harness.isBlocked('common'), [false]);
  });

  it('blames the part that all crashes share, not the parts of requests beside it', () => {
    const harness = new QuarantineHarness(1);
    for (let index = 0; index < 6; index += 1) {
      harness.nowMs += 300;
      harness.first.recordCrash(`e${index}`, prompt('common', 'bad'));
      const beside = index < 3 ? prompt('common', 'beside') : prompt('common');
      harness.first.recordCrash(`e${index}`, beside);
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
        anyDaemon().recordCompleted(prompt('common', 'sound'));
        if (random.nextFloat() * 100 >= requestsPerSecond) continue;
        const daemon = anyDaemon();
        const bad = prompt('common', 'bad');
        if (daemon.blockedForMs(bad) !== undefined) continue;
        const fifthAtMs = crashedAtMs[LARGE.crashes - 1] ?? Infinity;
        if (harness.nowMs > fifthAtMs + LARGE.contactMs) lateRequests += 1;
        const endpointId = `e${crashedAtMs.length}`;
        crashedAtMs.push(harness.nowMs);
        daemon.recordCrash(endpointId, bad);
        anyDaemon().recordCrash(endpointId, prompt('common', 'sound'));
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
      harness.first.recordCrash(`e${index}`, prompt('bad'));
    }
    harness.nowMs += SETTLED_MS;
    harness.exchange();
    const blockedForMs = harness.first.blockedForMs(prompt('bad')) ?? 0;
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
            const sound = prompt('common', `topic-${topic}`);
            const bad = prompt('common', `topic-${topic}`, 'bad');
            const isSent = quarantine.blockedForMs(bad) === undefined;
            const isCrash = isSent && (isBad || index === 0);
            if (isCrash) {
              const endpoint = `e${roundIndex}-${index}`;
              quarantine.recordCrash(endpoint, bad);
              // A sound request that the same endpoint served.
              harness.at(daemon + 1).recordCrash(endpoint, sound);
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
