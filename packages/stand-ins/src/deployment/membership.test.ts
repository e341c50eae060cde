import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import { Fault, FaultyKeyValue } from '@skylarkreach/core/fakes';
import { MemberState } from '@skylarkreach/core/membership';
import { createRulesEntry, RULES_KEY } from '@skylarkreach/core/rules';
import { SystemClock } from '@skylarkreach/daemon';

import type { RunningDaemon } from './local-deployment.js';
import { LocalDeployment } from './local-deployment.js';
import { SAMPLE_RULES } from './sample-rules.js';

const POLL_MS = 20;
const NEW_RULES = createRulesEntry(`${SAMPLE_RULES}# one more line\n`, 2).value;

describe('daemons of a local deployment', () => {
  let fault = Fault.None;
  let deployment = createDeployment();

  function createDeployment(): LocalDeployment {
    return new LocalDeployment({
      daemons: 4,
      engines: 0,
      wrapKeyValue: store =>
        new FaultyKeyValue(store, new SystemClock(), () => fault),
    });
  }

  afterEach(async () => {
    fault = Fault.None;
    await deployment.stop();
    deployment = createDeployment();
  });

  function membershipOf(daemon: RunningDaemon) {
    return daemon.daemon.wiring.membership;
  }

  function allKnowAll(): boolean {
    const { daemons } = deployment;
    return daemons.every(
      each => membershipOf(each).live().length === daemons.length - 1,
    );
  }

  function revisions(): number[] {
    return deployment.daemons.map(
      each => each.daemon.wiring.parts.rules.revision,
    );
  }

  async function write(): Promise<void> {
    await deployment.store.put({
      key: RULES_KEY,
      value: NEW_RULES,
      expectedVersion: 1,
      deadlineAtMs: 0,
    });
  }

  it('find each other, and hear of one that leaves or dies', async () => {
    await deployment.start();
    await until(allKnowAll);
    const [first, second] = deployment.daemons.splice(0, 2);
    assert.ok(first && second);
    await first.daemon.stop();
    await second.daemon.kill();
    await until(allKnowAll);
    const [observer] = deployment.daemons;
    assert.ok(observer);
    const { swim } = membershipOf(observer);
    assert.equal(swim.stateOf(first.id), MemberState.Left);
    assert.equal(swim.stateOf(second.id), MemberState.Dead);
    const outside = membershipOf(observer).peersOutside(observer.dataCentre);
    assert.ok(outside.every(each => each.dataCentre !== observer.dataCentre));
  });

  it('hold a revision that only one of them can have read', async () => {
    await deployment.start();
    await until(allKnowAll);
    fault = Fault.Down;
    const [writer] = deployment.daemons;
    assert.ok(writer);
    writer.daemon.wiring.parts.rules.apply({
      key: RULES_KEY,
      version: 2,
      value: NEW_RULES,
    });
    await until(() => revisions().every(revision => revision === 2));
  });

  it('start in an outage with the newest rules of their peers, and say that they are not fresh', async () => {
    await deployment.start();
    await until(allKnowAll);
    fault = Fault.Down;
    await until(() => deployment.cloud.listedDaemons() === 4);
    const late = await deployment.addDaemon('north-1');
    assert.equal(late.daemon.wiring.parts.rules.revision, 1);
    const status = membershipOf(late).status();
    assert.equal(status.rulesConfirmedAtMs, undefined);
    assert.equal(status.rulesFresh, false);
  });

  it('notice a watch that has gone silent and watch anew', async () => {
    await deployment.start();
    fault = Fault.Silent;
    await delay(POLL_MS);
    await write();
    fault = Fault.None;
    await until(() => revisions().every(revision => revision === 2));
    await until(() =>
      deployment.daemons.every(each => membershipOf(each).status().rulesFresh),
    );
  });
});

/** Waits for a condition; the test runner's own limit ends a wait in vain. */
async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await delay(POLL_MS);
}
