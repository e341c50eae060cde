import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import { SeededRandom } from '@skylarkreach/core/ports';

import { findViolations } from '../gateway/index.js';
import { ConfigurationProbe } from './configuration-probe.js';
import type { EarlierBuild } from './daemon-builds.js';
import { bundleBuilds } from './daemon-builds.js';
import type { FleetMachine } from './daemon-fleet.js';
import { DaemonFleet } from './daemon-fleet.js';
import { UpgradeCallers } from './upgrade-callers.js';
import type { LinkCut } from './upgrade-checks.js';
import {
  differingReports,
  fencingViolations,
  lostPostings,
  servedShareAtCuts,
  unansweredCalls,
} from './upgrade-checks.js';
import { STREAM_EVENTS, UpgradePlatform } from './upgrade-platform.js';

const SEED = 1;
const MACHINES = 4;
const ENDPOINTS_PER_GROUP = 3;
const CUT_MS = 3_500;
const MIN_SERVED_SHARE = 0.95;
const MIN_SERVED_SHARE_AT_CUTS = 0.8;

/** Defines the test that replaces processes of an earlier build by present ones and back. */
export function describeMixedBuilds(earlier: EarlierBuild): void {
  void describe(`daemons of the ${earlier.name} and of the present one`, () => {
    const builds = bundleBuilds(earlier.commit);
    const platform = new UpgradePlatform();
    const cuts: LinkCut[] = [];
    let fleet: DaemonFleet;
    let callers: UpgradeCallers;
    let configuration: ConfigurationProbe;
    let sparedPorts: readonly number[];

    before(async () => {
      const addresses = await platform.listen();
      sparedPorts = Object.values(addresses).map(address =>
        Number(String(address).split(':')[1]),
      );
      fleet = new DaemonFleet(addresses);
      callers = new UpgradeCallers(fleet, new SeededRandom(SEED));
      configuration = new ConfigurationProbe(platform.store, fleet);
      for (let count = 0; count < ENDPOINTS_PER_GROUP; count += 1) {
        await platform.addEndpoint('ledger', 'v1');
        await platform.addEndpoint('engines', 'v1');
      }
      configuration.change();
      await fleet.start(MACHINES, builds.earlier);
    });

    after(async () => {
      await Promise.all([callers.stop(), configuration.stop()]);
      fleet.destroy();
      platform.destroy();
      builds.remove();
    });

    async function cutLinks(machines: readonly FleetMachine[]): Promise<void> {
      const processes = machines.map(({ process }) => process);
      const fromMs = performance.now();
      for (const each of processes)
        each.setLinks({ areLinksCut: true, sparedPorts });
      await delay(CUT_MS);
      for (const each of processes)
        each.setLinks({ areLinksCut: false, sparedPorts });
      const untilMs = performance.now();
      cuts.push(
        ...processes.map(({ id }) => ({ gatewayId: id, fromMs, untilMs })),
      );
    }

    void it('keep all promises through an upgrade and a rollback beside planned work', async () => {
      const [first, second, third, fourth] = fleet.machines;
      assert.ok(first && second && third && fourth);
      configuration.start();
      callers.start();
      // The upgrade.
      configuration.change();
      await fleet.replace(first, builds.present);
      const drain = platform.replaceEndpoint('engines', 'v1');
      await fleet.replace(second, builds.present);
      configuration.change();
      // Only daemons of the other build reach the endpoints.
      await Promise.all([drain, cutLinks([first, second])]);
      const rollout = platform.rollOut('ledger', 'v2');
      await fleet.replace(third, builds.present);
      configuration.change();
      await fleet.replace(fourth, builds.present);
      // The rollback.
      await fleet.replace(first, builds.earlier);
      configuration.change();
      await rollout;
      const secondDrain = platform.replaceEndpoint('ledger', 'v2');
      await fleet.replace(second, builds.earlier);
      await Promise.all([secondDrain, cutLinks([first, second])]);
      configuration.change();
      await fleet.replace(third, builds.earlier);
      await fleet.replace(fourth, builds.earlier);
      await Promise.all([callers.stop(), configuration.stop()]);
      await fleet.stop();

      const { calls } = callers;
      const runs = platform.endpoints.flatMap(endpoint =>
        endpoint.runs.map(({ readAtMs, requestId }) => ({
          requestId,
          endpointId: endpoint.id,
          atMs: readAtMs,
        })),
      );
      const served = calls.filter(({ status }) => status === 200).length;
      const duties = platform.cloud.calls;
      assert.deepEqual(
        [
          ...fleet.problems(),
          ...configuration.violations,
          ...unansweredCalls(calls, cuts),
          ...lostPostings(calls, new Set(runs.map(run => run.requestId))),
          ...differingReports(platform.cloud.usageReports()),
          ...fencingViolations(duties),
          ...findViolations({
            calls,
            runs,
            limits: [],
            crashesAtMs: [],
            drainedAtMs: platform.drainedAtMs,
            killedGateways: new Set(),
            gatewayStartsAtMs: [],
            storeOutages: [],
            streamEvents: STREAM_EVENTS,
          }),
        ],
        [],
      );
      assert.deepEqual(platform.rolloutStates, ['running', 'succeeded']);
      const servedAtCuts = servedShareAtCuts(calls, cuts);
      assert.ok(served >= calls.length * MIN_SERVED_SHARE, `${served} served`);
      assert.ok(servedAtCuts >= MIN_SERVED_SHARE_AT_CUTS, `${servedAtCuts}`);
      assert.ok(new Set(duties.map(({ holder }) => holder)).size > 1);
    });
  });
}
