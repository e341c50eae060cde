import assert from 'node:assert/strict';

import { Fault } from '@skylarkreach/core/fakes';
import { InstanceBilling, StartOutcome } from '@skylarkreach/core/ports';

import type { RunningDaemon } from '../deployment/index.js';
import type { ScenarioContext } from './scenario-context.js';
import type { StepRegistry } from './step-registry.js';

const POSTING_DURATION_MS = 400;
const START_TIMEOUT_MS = 5_000;

/** Adds the steps that start the deployment and those that inject faults into it. */
export function addPlatformSteps(steps: StepRegistry<ScenarioContext>): void {
  steps
    .add(
      /^a deployment of (\d+) data centres with (\d+) daemons and (\d+) engines$/,
      (context, dataCentres, daemons, engines) =>
        context.start({
          dataCentres: dataCentreNames(Number(dataCentres)),
          daemons: Number(daemons),
          engines: Number(engines),
          serviceOptions: { responseDelayMs: POSTING_DURATION_MS },
        }),
    )
    .add(/^an engine that serves a caller is killed$/, killServingEngine)
    .add(/^the daemon of the first caller is killed$/, async context => {
      await context.world.killDaemon(daemonOfFirstCaller(context));
    })
    .add(/^the daemon of the first posting is killed$/, async context => {
      await context.world.killDaemon(daemonOfFirstPosting(context));
    })
    .add(
      /^a posting's claim is written, its answer lost$/,
      loseClaimWriteResponse,
    )
    .add(/^the key-value service is down$/, context => {
      context.world.setKeyValueFault(Fault.Down);
    })
    .add(/^the key-value service is back$/, context => {
      context.world.setKeyValueFault(Fault.None);
    })
    .add(
      /^data centre (\S+) is reclaimed with (\d+) ms of notice$/,
      (context, dataCentre = '', noticeMs) =>
        context.world.reclaim(dataCentre, Number(noticeMs)),
    )
    .add(/^(\d+) engines of the bad version (\S+) start$/, startBadEngines)
    .add(/^the platform refuses starts$/, refuseStarts);
}

function killServingEngine({ world }: ScenarioContext): void {
  const { engines } = world.deployment;
  const servingEngine = engines.find(each => each.engine.dispatches.length > 0);
  assert.ok(
    servingEngine !== undefined,
    'No engine has received a dispatch; stream an answer first.',
  );
  world.killEngine(servingEngine);
}

function daemonOfFirstCaller(context: ScenarioContext): RunningDaemon {
  const url = context.answers[0]?.firstUrl;
  const { daemons } = context.world.deployment;
  const daemon = daemons.find(
    each => `http://${each.addresses.callers}` === url,
  );
  assert.ok(
    daemon !== undefined,
    'The daemon of the first caller is no longer running.',
  );
  return daemon;
}

/** Returns the daemon that the first posting of a scenario is sent to. */
function daemonOfFirstPosting({ world }: ScenarioContext): RunningDaemon {
  const [daemon] = world.deployment.daemons;
  assert.ok(daemon !== undefined, 'No daemon is running.');
  return daemon;
}

async function loseClaimWriteResponse(context: ScenarioContext): Promise<void> {
  const { callers, faults } = context.world;
  const writeMade = faults.loseNextWriteResponse();
  context.postings = [callers.sendPosting()];
  await writeMade;
  context.world.traceFault(
    'key-value service',
    'loses the response to a write',
  );
}

/** Starts the engines and waits until every daemon lists them as endpoints. */
async function startBadEngines(
  context: ScenarioContext,
  count?: string,
  version = '',
): Promise<void> {
  const { world } = context;
  for (let index = 0; index < Number(count); index += 1) {
    await world.addBadEngine('north-1', version);
  }
  await context.waitUntil(
    'every daemon lists the engines of the bad version',
    () =>
      world.deployment.daemons.every(({ daemon }) => {
        const endpoints = daemon.wiring.pipelineDeps.router.endpoints();
        const ofVersion = endpoints.filter(each => each.version === version);
        return ofVersion.length === Number(count);
      }),
  );
}

async function refuseStarts({ world }: ScenarioContext): Promise<void> {
  const { clock, cloud } = world.deployment;
  cloud.refusesStarts = true;
  const result = await cloud.start({
    machineClass: 'standard',
    dataCentre: 'north-1',
    billing: InstanceBilling.Reclaimable,
    clientToken: 'start-1',
    deadlineAtMs: clock.nowMs() + START_TIMEOUT_MS,
  });
  assert.equal(result.outcome, StartOutcome.Refused);
  world.traceFault('cloud', 'refuses starts');
}

function dataCentreNames(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `north-${index + 1}`);
}
