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

  function isMembershipComplete(): boolean {
    const { daemons } = deployment;
    return daemons.every(
      daemon => membershipOf(daemon).live().length === daemons.length - 1,
    );
  }

  function revisions(): number[] {
    return deployment.daemons.map(
      running => running.daemon.wiring.pipelineDeps.rules.revision,
    );
  }

  async function writeNewRules(): Promise<void> {
    await deployment.store.put({
      key: RULES_KEY,
      value: NEW_RULES,
      expectedVersion: 1,
      deadlineAtMs: 0,
    });
  }

  it('discover each other, and learn which of them left and which died', async () => {
    await deployment.start();
    await waitForCondition(isMembershipComplete);
    const [first, second] = deployment.daemons.splice(0, 2);
    assert.ok(first && second);
    await first.daemon.stop();
    await second.daemon.kill();
    await waitForCondition(isMembershipComplete);
    const [observer] = deployment.daemons;
    assert.ok(observer);
    const { swim } = membershipOf(observer);
    assert.equal(swim.stateOf(first.id), MemberState.Left);
    assert.equal(swim.stateOf(second.id), MemberState.Dead);
    const remotePeers = membershipOf(observer).peersOutside(
      observer.dataCentre,
    );
    assert.ok(
      remotePeers.every(peer => peer.dataCentre !== observer.dataCentre),
    );
  });

  it('receive a rules revision from the only daemon that read it while the key-value service is down', async () => {
    await deployment.start();
    await waitForCondition(isMembershipComplete);
    fault = Fault.Down;
    const [writer] = deployment.daemons;
    assert.ok(writer);
    writer.daemon.wiring.pipelineDeps.rules.apply({
      key: RULES_KEY,
      version: 2,
      value: NEW_RULES,
    });
    await waitForCondition(() => revisions().every(revision => revision === 2));
  });

  it('start during a key-value outage with the newest rules of their peers, and report them as not fresh', async () => {
    await deployment.start();
    await waitForCondition(isMembershipComplete);
    fault = Fault.Down;
    await waitForCondition(() => deployment.cloud.publishedDaemonCount() === 4);
    const lateDaemon = await deployment.addDaemon('north-1');
    assert.equal(lateDaemon.daemon.wiring.pipelineDeps.rules.revision, 1);
    const status = membershipOf(lateDaemon).status();
    assert.equal(status.rulesConfirmedAtMs, undefined);
    assert.equal(status.rulesFresh, false);
  });

  it('detect a watch that no longer responds and restart it', async () => {
    await deployment.start();
    fault = Fault.Silent;
    await delay(POLL_MS);
    await writeNewRules();
    fault = Fault.None;
    await waitForCondition(() => revisions().every(revision => revision === 2));
    await waitForCondition(() =>
      deployment.daemons.every(
        daemon => membershipOf(daemon).status().rulesFresh,
      ),
    );
  });
});

/** Polls until a condition holds. There is no timeout; the test runner's limit applies. */
async function waitForCondition(condition: () => boolean): Promise<void> {
  while (!condition()) await delay(POLL_MS);
}
