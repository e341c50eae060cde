import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { AttemptObservation } from '../forwarding/index.js';
import { SeededRandom } from '../ports/index.js';
import { CanaryRollout } from './canary-rollout.js';
import { RolloutPhase } from './rollout-hints.js';

const DURATION_MS = 12_000;
const DAEMONS = 3;
const STEP_MS = 20;
const EXCHANGE_MS = 500;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
const EVENTS_PER_ANSWER = 10;

interface VersionBehaviour {
  readonly failureShare: number;
  /** Mean time to the first event. */
  readonly answerMs: number;
  /** Mean time between two events. */
  readonly gapMs: number;
  /** Time since the start at which the version begins to misbehave. */
  readonly badFromMs?: number;
  /** The only route on which the version misbehaves. */
  readonly badRoute?: string;
  /** Share of the requests on which the version misbehaves; all if absent. */
  readonly badShare?: number;
}

interface SimulationResult {
  readonly phase: RolloutPhase;
  readonly requests: number;
  readonly newRequests: number;
  readonly endedAtMs: number;
}

const GOOD: VersionBehaviour = {
  failureShare: 0.01,
  answerMs: 100,
  gapMs: 20,
};
const ROUTES = ['drafts', 'checks'];

/** Answer of an endpoint whose events are still to arrive. */
interface Answer {
  readonly observation: AttemptObservation;
  readonly failed: boolean;
  readonly eventsAtMs: readonly number[];
  arrived: number;
}

/** Delivers the events that are due; returns false once the answer has ended. */
function deliverEvents(answer: Answer, nowMs: number): boolean {
  const due = answer.eventsAtMs.filter(atMs => atMs <= nowMs).length;
  const lastAtMs = answer.eventsAtMs[due - 1] ?? nowMs;
  answer.observation.recordEvents(due - answer.arrived, lastAtMs);
  answer.arrived = due;
  if (due < answer.eventsAtMs.length) return true;
  answer.observation.end(answer.failed);
  return false;
}

/** Simulates a rollout over daemons that exchange hints and together serve 30 requests a second. */
function simulateRollout(
  candidate: VersionBehaviour,
  seed: number,
): SimulationResult {
  const random = new SeededRandom(seed);
  const order = {
    revision: 7,
    group: 'engines',
    toVersion: 'v2',
    durationMs: DURATION_MS,
  };
  const rollouts = Array.from(
    { length: DAEMONS },
    () =>
      new CanaryRollout(order, 0, {
        exposureShare: 0.1,
        exposureSlack: 50,
        daemons: () => DAEMONS,
        routes: () => ROUTES,
      }),
  );
  let requests = 0;
  let newRequests = 0;
  let endedAtMs = DURATION_MS;
  let answers: Answer[] = [];
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
    for (const rollout of rollouts) {
      if (random.nextFloat() < 0.2) {
        requests += 1;
        const isCanary = rollout.choose(nowMs).only === 'v2';
        if (isCanary) newRequests += 1;
        const route = ROUTES[random.nextInteger(2)] ?? '';
        const version = isCanary ? candidate : GOOD;
        const isBad =
          nowMs >= (version.badFromMs ?? 0) &&
          (version.badRoute ?? route) === route &&
          random.nextFloat() < (version.badShare ?? 1);
        const { answerMs, failureShare, gapMs } = isBad ? version : GOOD;
        const failed = random.nextFloat() < failureShare;
        const firstAtMs = nowMs + answerMs * (0.5 + random.nextFloat());
        const meanGapMs = gapMs * (0.5 + random.nextFloat());
        answers.push({
          observation: rollout.observe(
            { group: 'engines', version: isCanary ? 'v2' : 'v1', route },
            nowMs,
          ),
          failed,
          eventsAtMs: Array.from(
            { length: EVENTS_PER_ANSWER },
            (_, index) => firstAtMs + index * meanGapMs,
          ),
          arrived: 0,
        });
      }
      rollout.tick(nowMs);
    }
    answers = answers.filter(answer => deliverEvents(answer, nowMs));
    rollouts[0]?.decide(nowMs);
    if (nowMs % EXCHANGE_MS === 0) exchangeHints(rollouts, nowMs);
    const [first] = rollouts;
    if (first?.phase === RolloutPhase.RolledBack) {
      endedAtMs = Math.min(endedAtMs, nowMs);
    }
  }
  const phase = rollouts[0]?.phase ?? RolloutPhase.Canary;
  return { phase, requests, newRequests, endedAtMs };
}

/** Creates a rollout of group 'g' on the only daemon. */
function createLoneRollout(
  routes: () => readonly string[] = () => ROUTES,
): CanaryRollout {
  const order = {
    revision: 7,
    group: 'g',
    toVersion: 'v2',
    durationMs: DURATION_MS,
  };
  return new CanaryRollout(order, 0, {
    exposureShare: 0.1,
    exposureSlack: 50,
    daemons: () => 1,
    routes,
  });
}

function exchangeHints(
  rollouts: readonly CanaryRollout[],
  nowMs: number,
): void {
  const all = rollouts.map(rollout => rollout.hints(nowMs));
  rollouts.forEach((rollout, to) => {
    all.forEach((hints, from) => {
      if (from !== to) rollout.applyPeer(`d${from}`, hints, nowMs);
    });
  });
}

describe('CanaryRollout', () => {
  it('switches to a good version before the deadline', () => {
    for (const seed of SEEDS) {
      const { phase } = simulateRollout(GOOD, seed);
      assert.equal(phase, RolloutPhase.Switching, `seed ${seed}`);
    }
  });

  it('rolls back a version that fails at once, within the allowed exposure', () => {
    for (const seed of SEEDS) {
      const outcome = simulateRollout({ ...GOOD, failureShare: 0.5 }, seed);
      assert.equal(outcome.phase, RolloutPhase.RolledBack, `seed ${seed}`);
      assert.ok(outcome.newRequests <= outcome.requests * 0.1 + 50);
    }
  });

  it('rolls back a version that is several times slower', () => {
    for (const seed of SEEDS) {
      const outcome = simulateRollout({ ...GOOD, answerMs: 500 }, seed);
      assert.equal(outcome.phase, RolloutPhase.RolledBack, `seed ${seed}`);
    }
  });

  it('rolls back a version whose streams are several times slower after a prompt first event', () => {
    for (const seed of SEEDS) {
      const { phase } = simulateRollout({ ...GOOD, gapMs: 100 }, seed);
      assert.equal(phase, RolloutPhase.RolledBack, `seed ${seed}`);
    }
  });

  it('rolls back a version whose slow answers have not ended when the rollout is decided', () => {
    for (const seed of SEEDS) {
      for (const slow of [{ answerMs: 20_000 }, { gapMs: 2_000 }]) {
        const version = { ...GOOD, ...slow, badShare: 0.6 };
        const { phase } = simulateRollout(version, seed);
        assert.equal(phase, RolloutPhase.RolledBack, `seed ${seed}`);
      }
    }
  });

  it('rolls back a version that fails late or on one route only, within the allowed exposure', () => {
    for (const seed of SEEDS) {
      for (const fault of [{ badFromMs: 5_000 }, { badRoute: 'drafts' }]) {
        const version = { ...GOOD, failureShare: 0.6, ...fault };
        const outcome = simulateRollout(version, seed);
        assert.equal(outcome.phase, RolloutPhase.RolledBack, `seed ${seed}`);
        assert.ok(outcome.newRequests <= outcome.requests * 0.1 + 50);
      }
    }
  });

  it('stays rolled back after a peer’s rollback and sends no more requests to the version', () => {
    const rollout = createLoneRollout();
    const peer = createLoneRollout();
    peer.phase = RolloutPhase.RolledBack;
    rollout.applyPeer('d1', peer.hints(100), 100);
    peer.phase = RolloutPhase.Canary;
    rollout.applyPeer('d1', peer.hints(200), 200);
    for (let nowMs = 200; nowMs < DURATION_MS; nowMs += 100) {
      assert.deepEqual(rollout.choose(nowMs), { not: 'v2' });
    }
  });

  it('keeps no evidence of peers once the rollout has ended', () => {
    const rollout = createLoneRollout();
    const peersWithEvidence = () =>
      (rollout.dumpState() as { peersWithEvidence: number }).peersWithEvidence;
    const hints = createLoneRollout().hints(100);
    for (let peer = 0; peer < 1_000; peer += 1)
      rollout.applyPeer(`d${peer}`, hints, 100);
    assert.equal(peersWithEvidence(), 1_000);
    rollout.decide(DURATION_MS);
    for (let peer = 0; peer < 1_000; peer += 1)
      rollout.applyPeer(`d${peer}`, hints, DURATION_MS);
    assert.equal(peersWithEvidence(), 0);
  });

  it('rolls back a version whose few answers fit a bad version better than a good one', () => {
    const rollout = createLoneRollout();
    const answer = (version: string, failed: boolean) => {
      const attempt = { group: 'g', version, route: 'drafts' };
      const observation = rollout.observe(attempt, 0);
      observation.recordEvents(1, 100);
      observation.end(failed);
    };
    for (let count = 0; count < 40; count += 1) answer('v1', false);
    for (let count = 0; count < 6; count += 1) answer('v2', count < 2);
    rollout.tick(2_000);
    assert.equal(rollout.phase, RolloutPhase.Canary);
    rollout.decide(DURATION_MS - 100);
    assert.equal(rollout.phase, RolloutPhase.RolledBack);
  });

  // The routes were read once, when the order arrived, so that nobody tested the version on others.
  it('tests the version on routes that become known during the rollout', () => {
    const routes: string[] = [];
    const rollout = createLoneRollout(() => routes);
    routes.push('drafts');
    for (let nowMs = 0; nowMs <= 4_000; nowMs += 100) {
      for (const version of ['v1', 'v1', 'v2']) {
        const attempt = { group: 'g', version, route: 'drafts' };
        const observation = rollout.observe(attempt, nowMs);
        observation.recordEvents(1, nowMs + 50);
        observation.end(version === 'v2');
      }
      rollout.tick(nowMs);
    }
    assert.equal(rollout.phase, RolloutPhase.RolledBack);
    assert.equal(rollout.finding?.kind, 'drafts');
  });

  it('sends nothing to the version after the deadline, and rolls back without enough answers', () => {
    const rollout = createLoneRollout();
    assert.deepEqual(rollout.choose(DURATION_MS), { not: 'v2' });
    rollout.decide(DURATION_MS - 100);
    assert.equal(rollout.phase, RolloutPhase.RolledBack);
  });
});
