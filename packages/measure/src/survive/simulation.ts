import { MemoryPeers, scriptedAnswer } from '@skylarkreach/core/fakes';
import type { DaemonIdentity } from '@skylarkreach/core/ports';
import {
  estimateTokens,
  promptTextOf,
  SeededRandom,
} from '@skylarkreach/core/ports';

import { restartUntilComplete } from './restart-baseline.js';
import type { CallerResult } from './simulated-caller.js';
import { SimulatedCaller } from './simulated-caller.js';
import { SimulatedDaemon } from './simulated-daemon.js';
import type { TracedRequest, Wave } from './trace.js';
import { DATA_CENTRES, createRequests, TRACE_END_MS, WAVES } from './trace.js';
import { SimulatedPlatform } from './simulated-platform.js';

const DAEMONS_PER_DATA_CENTRE = 2;

/** Figures of one way to serve the trace. */
export interface SurvivalResults {
  readonly way: string;
  readonly requests: number;
  readonly refused: number;
  readonly lost: number;
  readonly notWhole: number;
  readonly wrongCaller: number;
  readonly reconnects: number;
  /** Tokens generated beyond those of the answers. */
  readonly regeneratedTokens: number;
  /** Tokens of prompts and sent text computed beyond one time for each prompt. */
  readonly repeatedPrefillTokens: number;
  /** Both together. */
  readonly recomputedTokens: number;
}

/** Runs the trace over the decisions of several daemons. */
export async function simulateSurvival(
  seed: number,
  count: number,
): Promise<SurvivalResults> {
  const world = new SimulatedPlatform(seed);
  const requests = createRequests(seed, count);
  const daemons = createDaemons(world, seed);
  const random = new SeededRandom(seed + 3);
  const choose = () => {
    const alive = daemons.filter(({ shutdown: end }) => !end.signal.aborted);
    return alive[random.nextInteger(alive.length)];
  };
  for (const wave of WAVES)
    void world.runWave(wave, createWaveListener(daemons));
  const running = Promise.all(
    requests.map(each => new SimulatedCaller(each, world.clock, choose).run()),
  );
  await world.clock.advanceTo(TRACE_END_MS);
  return summarise(
    'resume, move or regenerate',
    requests,
    await running,
    world,
  );
}

/** Runs the trace with every interrupted request started from nothing. */
export async function simulateRestarts(
  seed: number,
  count: number,
): Promise<SurvivalResults> {
  const world = new SimulatedPlatform(seed);
  const requests = createRequests(seed, count);
  for (const wave of WAVES) void world.runWave(wave);
  const running = Promise.all(
    requests.map(async (each): Promise<CallerResult> => {
      const isFinished = await restartUntilComplete(each, world);
      const text = isFinished ? expectedText(each) : '';
      return { text, isFinished, isRefused: false, reconnects: 0 };
    }),
  );
  await world.clock.advanceTo(TRACE_END_MS);
  return summarise('restart from nothing', requests, await running, world);
}

function createDaemons(
  world: SimulatedPlatform,
  seed: number,
): SimulatedDaemon[] {
  const network = new MemoryPeers(world.clock);
  const identities = DATA_CENTRES.flatMap(dataCentre =>
    Array.from({ length: DAEMONS_PER_DATA_CENTRE }, (_, index) =>
      createIdentity(`${dataCentre}.daemon-${index}`, dataCentre),
    ),
  );
  return identities.map((identity, index) => {
    const daemonSeed = seed + 100 + index;
    const daemon = new SimulatedDaemon(identity, world, network, daemonSeed);
    daemon.peers.replace(identities.filter(other => other !== identity));
    return daemon;
  });
}

function createIdentity(id: string, dataCentre: string): DaemonIdentity {
  return { id, dataCentre, peerAddress: id, callerUrl: `http://${id}` };
}

/** On a notice the first daemon of the data centre hands off; the second is killed in the midst of it. */
function createWaveListener(daemons: readonly SimulatedDaemon[]) {
  const daemonsIn = (wave: Wave) =>
    daemons.filter(({ identity }) => identity.dataCentre === wave.dataCentre);
  return {
    onNotice: async (wave: Wave) => {
      const [first] = daemonsIn(wave);
      await first?.handOff();
    },
    onReclaim: (wave: Wave) => {
      for (const daemon of daemonsIn(wave)) daemon.kill();
      return Promise.resolve();
    },
  };
}

function summarise(
  way: string,
  requests: readonly TracedRequest[],
  results: readonly CallerResult[],
  world: SimulatedPlatform,
): SurvivalResults {
  const pairs = requests.map((request, index) => ({
    request,
    result: results[index],
  }));
  const accepted = pairs.filter(({ result }) => result?.isRefused === false);
  const answerTokens = sum(accepted, ({ request }) => request.call.maxTokens);
  const promptTokens = sum(accepted, ({ request }) =>
    estimateTokens(promptTextOf(request.call.messages)),
  );
  const regeneratedTokens = world.engine.decodedTokens - answerTokens;
  const repeatedPrefillTokens = world.engine.prefillTokens - promptTokens;
  const count = (test: (pair: (typeof pairs)[number]) => boolean) =>
    accepted.filter(test).length;
  return {
    way,
    requests: requests.length,
    refused: requests.length - accepted.length,
    lost: count(({ result }) => result?.isFinished !== true),
    notWhole: count(
      ({ request, result }) =>
        result?.isFinished === true && result.text !== expectedText(request),
    ),
    wrongCaller: count(({ request, result }) =>
      hasForeignText(request, result?.text ?? ''),
    ),
    reconnects: sum(results, each => each.reconnects),
    regeneratedTokens,
    repeatedPrefillTokens,
    recomputedTokens: regeneratedTokens + repeatedPrefillTokens,
  };
}

function sum<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((total, item) => total + value(item), 0);
}

function expectedText({ call }: TracedRequest): string {
  return scriptedAnswer(call).join('');
}

/** Whether a text holds a token of another request's answer. */
function hasForeignText({ call }: TracedRequest, text: string): boolean {
  const own = `${call.messages[0]?.content ?? ''}:`;
  return text
    .split(' ')
    .filter(token => token !== '')
    .some(token => !token.startsWith(own));
}
