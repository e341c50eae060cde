import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { SeededRandom } from '../ports/index.js';
import { RolloutPhase } from './rollout-hints.js';
import { RolloutTrial } from './rollout-trial.js';

const DURATION_MS = 12_000;
const DAEMONS = 3;
const STEP_MS = 20;
const EXCHANGE_MS = 500;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

interface Version {
  readonly failureShare: number;
  readonly answerMs: number;
  /** Time of the trial from which it fails. */
  readonly badFromMs?: number;
  /** The only route that it fails on. */
  readonly badRoute?: string;
}

interface Outcome {
  readonly phase: RolloutPhase;
  readonly requests: number;
  readonly newRequests: number;
  readonly endedAtMs: number;
}

const GOOD: Version = { failureShare: 0.01, answerMs: 100 };
const ROUTES = ['drafts', 'checks'];

/** Plays a trial over some daemons that exchange hints and serve 30 requests a second together. */
function play(candidate: Version, seed: number): Outcome {
  const random = new SeededRandom(seed);
  const order = {
    revision: 7,
    group: 'engines',
    toVersion: 'v2',
    durationMs: DURATION_MS,
  };
  const trials = Array.from(
    { length: DAEMONS },
    () =>
      new RolloutTrial(order, 0, {
        exposureShare: 0.1,
        exposureSlack: 50,
        daemons: () => DAEMONS,
        routes: ROUTES,
      }),
  );
  let requests = 0;
  let newRequests = 0;
  let endedAtMs = DURATION_MS;
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
    for (const trial of trials) {
      if (random.nextFloat() < 0.2) {
        requests += 1;
        const isNew = trial.choose(nowMs).only === 'v2';
        if (isNew) newRequests += 1;
        const route = ROUTES[random.nextInteger(2)] ?? '';
        const version = isNew ? candidate : GOOD;
        const isBad =
          nowMs >= (version.badFromMs ?? 0) &&
          (version.badRoute ?? route) === route;
        const { answerMs, failureShare } = isBad ? version : GOOD;
        trial.recordAnswer({
          group: 'engines',
          version: isNew ? 'v2' : 'v1',
          route,
          failed: random.nextFloat() < failureShare,
          responseMs: answerMs * (0.5 + random.nextFloat()),
        });
      }
      trial.tick(nowMs);
    }
    trials[0]?.decide(nowMs);
    if (nowMs % EXCHANGE_MS === 0) exchange(trials, nowMs);
    const [first] = trials;
    if (first?.phase === RolloutPhase.RolledBack) {
      endedAtMs = Math.min(endedAtMs, nowMs);
    }
  }
  const phase = trials[0]?.phase ?? RolloutPhase.Trial;
  return { phase, requests, newRequests, endedAtMs };
}

function exchange(trials: readonly RolloutTrial[], nowMs: number): void {
  const all = trials.map(trial => trial.hints(nowMs));
  trials.forEach((trial, to) => {
    all.forEach((hints, from) => {
      if (from !== to) trial.applyPeer(`d${from}`, hints, nowMs);
    });
  });
}

describe('RolloutTrial', () => {
  it('lets a good version take over before the limit', () => {
    for (const seed of SEEDS) {
      const { phase } = play(GOOD, seed);
      assert.equal(phase, RolloutPhase.Switching, `seed ${seed}`);
    }
  });

  it('rolls a version that fails at once back, within the exposure', () => {
    for (const seed of SEEDS) {
      const outcome = play({ failureShare: 0.5, answerMs: 100 }, seed);
      assert.equal(outcome.phase, RolloutPhase.RolledBack, `seed ${seed}`);
      assert.ok(outcome.newRequests <= outcome.requests * 0.1 + 50);
    }
  });

  it('rolls a version that is several times slower back', () => {
    for (const seed of SEEDS) {
      const outcome = play({ failureShare: 0.01, answerMs: 500 }, seed);
      assert.equal(outcome.phase, RolloutPhase.RolledBack, `seed ${seed}`);
    }
  });

  it('rolls a version that fails late or on one route back, within the exposure', () => {
    for (const seed of SEEDS) {
      for (const badness of [{ badFromMs: 5_000 }, { badRoute: 'drafts' }]) {
        const version = { failureShare: 0.6, answerMs: 100, ...badness };
        const outcome = play(version, seed);
        assert.equal(outcome.phase, RolloutPhase.RolledBack, `seed ${seed}`);
        assert.ok(outcome.newRequests <= outcome.requests * 0.1 + 50);
      }
    }
  });

  it('takes a peer’s brake for good and sends nothing more to the version', () => {
    const order = {
      revision: 7,
      group: 'g',
      toVersion: 'v2',
      durationMs: DURATION_MS,
    };
    const options = {
      exposureShare: 0.1,
      exposureSlack: 50,
      daemons: () => 1,
      routes: ROUTES,
    };
    const trial = new RolloutTrial(order, 0, options);
    const peer = new RolloutTrial(order, 0, options);
    peer.phase = RolloutPhase.RolledBack;
    trial.applyPeer('d1', peer.hints(100), 100);
    peer.phase = RolloutPhase.Trial;
    trial.applyPeer('d1', peer.hints(200), 200);
    for (let nowMs = 200; nowMs < DURATION_MS; nowMs += 100) {
      assert.deepEqual(trial.choose(nowMs), { not: 'v2' });
    }
  });

  it('tries nothing after its limit, and rolls back without enough answers', () => {
    const order = {
      revision: 7,
      group: 'g',
      toVersion: 'v2',
      durationMs: DURATION_MS,
    };
    const trial = new RolloutTrial(order, 0, {
      exposureShare: 0.1,
      exposureSlack: 50,
      daemons: () => 1,
      routes: ROUTES,
    });
    assert.deepEqual(trial.choose(DURATION_MS), { not: 'v2' });
    trial.decide(DURATION_MS - 100);
    assert.equal(trial.phase, RolloutPhase.RolledBack);
  });
});
