import { CallerClient } from '@skylarkreach/client';
import { SeededRandom } from '@skylarkreach/core/ports';
import { LogLevel } from '@skylarkreach/daemon';
import {
  answerTokens,
  CALLER_TOKEN,
  LocalDeployment,
} from '@skylarkreach/stand-ins';

const DATA_CENTRES = ['north-1', 'north-2', 'north-3', 'north-4'];
const REQUEST_TIMEOUT_MS = 60_000;
const ARRIVAL_WINDOW_MS = 3_000;
const FIRST_WAVE = { dataCentre: 'north-1', noticeMs: 1_000, untilMs: 3_000 };
const SECOND_WAVE = { dataCentre: 'north-2', noticeMs: 1_600, untilMs: 2_800 };
const ENGINE_STEP_MS = 25;

/** Results of the requests sent over real sockets. */
export interface DeploymentResults {
  readonly requests: number;
  readonly lost: number;
  readonly notWhole: number;
}

/** Sends requests through the local deployment while two data centres are reclaimed. */
export async function runDeploymentWaves(
  seed: number,
  count: number,
): Promise<DeploymentResults> {
  const deployment = new LocalDeployment({
    daemons: 8,
    engines: 8,
    dataCentres: DATA_CENTRES,
    engineOptions: { stepMs: ENGINE_STEP_MS },
    logLevel: LogLevel.Silent,
  });
  await deployment.start();
  const client = new CallerClient({
    addresses: deployment.callerUrls(),
    token: CALLER_TOKEN,
  });
  try {
    const waves = [FIRST_WAVE, SECOND_WAVE].map(wave =>
      runWave(deployment, wave),
    );
    const texts = await sendAll(client, deployment, seed, count);
    await Promise.all(waves);
    return summarise(seed, texts);
  } finally {
    await client.close();
    await deployment.stop();
  }
}

/** Reclaims one data centre: announces it after `noticeMs` and completes it after `untilMs`, both from the start. */
async function runWave(
  deployment: LocalDeployment,
  wave: typeof FIRST_WAVE,
): Promise<void> {
  const { clock } = deployment;
  const startedAtMs = clock.nowMs();
  await clock.waitUntil(startedAtMs + wave.noticeMs);
  await deployment.reclaimDataCentre(
    wave.dataCentre,
    startedAtMs + wave.untilMs,
  );
}

async function sendAll(
  client: CallerClient,
  { clock }: LocalDeployment,
  seed: number,
  count: number,
): Promise<readonly (string | undefined)[]> {
  const random = new SeededRandom(seed);
  const startedAtMs = clock.nowMs();
  return Promise.all(
    Array.from({ length: count }, async (_, index) => {
      await clock.waitUntil(
        startedAtMs + random.nextInteger(ARRIVAL_WINDOW_MS),
      );
      const deadlineAtMs = clock.nowMs() + REQUEST_TIMEOUT_MS;
      const messages = createMessages(seed, index);
      return client.send({ messages, deadlineAtMs }).catch(() => undefined);
    }),
  );
}

function createMessages(seed: number, index: number) {
  return [{ role: 'user', content: `Question ${index} of run ${seed}` }];
}

function summarise(
  seed: number,
  texts: readonly (string | undefined)[],
): DeploymentResults {
  const isComplete = (text: string, index: number) =>
    text === answerTokens(createMessages(seed, index)).join('');
  return {
    requests: texts.length,
    lost: texts.filter(text => text === undefined).length,
    notWhole: texts.filter(
      (text, index) => text !== undefined && !isComplete(text, index),
    ).length,
  };
}
