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
import { SimulatedPlatform } from './simulated-platform.js';
import type { TracedRequest, Wave } from './trace.js';
import { createRequests, DATA_CENTRES, TRACE_END_MS, WAVES } from './trace.js';

const DAEMONS_PER_DATA_CENTRE = 2;

/** Results of serving the trace in one way. */
export interface SurvivalResults {
  readonly way: string;
  readonly requests: number;
  readonly refused: number;
  readonly lost: number;
  readonly notWhole: number;
  readonly wrongCaller: number;
  readonly reconnects: number;
  /** Tokens generated in excess of those in the answers. */
  readonly regeneratedTokens: number;
  /** Prefilled tokens of prompts and sent text in excess of one prefill per prompt. */
  readonly repeatedPrefillTokens: number;
  /** Sum of regenerated and repeatedly prefilled tokens. */
  readonly recomputedTokens: number;
}

/** Runs the trace on several daemons with the real request pipeline. */
export async function simulateSurvival(
  seed: number,
  count: number,
): Promise<SurvivalResults> {
  const platform = new SimulatedPlatform(seed);
  const requests = createRequests(seed, count);
  const daemons = createDaemons(platform, seed);
  const random = new SeededRandom(seed + 3);
  const chooseDaemon = () => {
    const alive = daemons.filter(({ shutdown }) => !shutdown.signal.aborted);
    return alive[random.nextInteger(alive.length)];
  };
  for (const wave of WAVES)
    void platform.runWave(wave, createWaveListener(daemons));
  const running = Promise.all(
    requests.map(request =>
      new SimulatedCaller(request, platform.clock, chooseDaemon).run(),
    ),
  );
  await platform.clock.advanceTo(TRACE_END_MS);
  return summarise(
    'resume, move or regenerate',
    requests,
    await running,
    platform,
  );
}

/** Runs the trace with a baseline that restarts every interrupted request from the beginning. */
export async function simulateRestarts(
  seed: number,
  count: number,
): Promise<SurvivalResults> {
  const platform = new SimulatedPlatform(seed);
  const requests = createRequests(seed, count);
  for (const wave of WAVES) void platform.runWave(wave);
  const running = Promise.all(
    requests.map(async (request): Promise<CallerResult> => {
      const isFinished = await restartUntilComplete(request, platform);
      const text = isFinished ? expectedText(request) : '';
      return { text, isFinished, isRefused: false, reconnects: 0 };
    }),
  );
  await platform.clock.advanceTo(TRACE_END_MS);
  return summarise('restart from nothing', requests, await running, platform);
}

function createDaemons(
  platform: SimulatedPlatform,
  seed: number,
): SimulatedDaemon[] {
  const network = new MemoryPeers(platform.clock);
  const identities = DATA_CENTRES.flatMap(dataCentre =>
    Array.from({ length: DAEMONS_PER_DATA_CENTRE }, (_, index) =>
      createIdentity(`${dataCentre}.daemon-${index}`, dataCentre),
    ),
  );
  return identities.map((identity, index) => {
    const daemonSeed = seed + 100 + index;
    const daemon = new SimulatedDaemon(identity, platform, network, daemonSeed);
    daemon.peers.replace(identities.filter(other => other !== identity));
    return daemon;
  });
}

function createIdentity(id: string, dataCentre: string): DaemonIdentity {
  return { id, dataCentre, peerAddress: id, callerUrl: `http://${id}` };
}

/** On a notice, the first daemon of the data centre hands off its requests; on the reclaim, all its daemons are killed, the second without a hand-off. */
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
  platform: SimulatedPlatform,
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
  const regeneratedTokens = platform.engine.decodedTokens - answerTokens;
  const repeatedPrefillTokens = platform.engine.prefillTokens - promptTokens;
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
    reconnects: sum(results, result => result.reconnects),
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

/** Returns whether the text contains a token of another request's answer. */
function hasForeignText({ call }: TracedRequest, text: string): boolean {
  const own = `${call.messages[0]?.content ?? ''}:`;
  return text
    .split(' ')
    .filter(token => token !== '')
    .some(token => !token.startsWith(own));
}
