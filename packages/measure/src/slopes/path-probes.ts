import { request } from 'undici';

import { CALLER_TOKEN, LocalDeployment } from '@skylarkreach/stand-ins';

import type { Point } from '../experiment/index.js';
import type { SendRequest } from './added-cpu-micros.js';
import { measureAddedCpuMicros } from './added-cpu-micros.js';
import type { Probe } from './probe.js';

const REQUEST_COUNTS = [200, 400, 600, 800];
const STREAM_COUNTS = [20, 40, 60, 80];
const FAR_DEADLINE = '2100-01-01T00:00:00Z';
const ENGINE_STEP_MS = 1;

/** CPU time that the daemon adds to a plain-service call, compared with a direct one. */
export const requestProbe: Probe = {
  name: 'request',
  unit: 'µs a request',
  sizeName: 'requests',
  run: () =>
    withDeployment(async deployment => {
      const sendDirect = directServiceSender(deployment);
      const sendProxied = proxiedServiceSender(deployment);
      return measureAddedCpuMicros(REQUEST_COUNTS, sendDirect, sendProxied);
    }),
};

/** CPU time that the daemon adds to a streamed token, compared with a direct stream. */
export const tokenProbe: Probe = {
  name: 'token',
  unit: 'µs a token',
  sizeName: 'tokens',
  run: () =>
    withDeployment(async deployment => {
      const sendDirect = directStreamSender(deployment);
      const sendProxied = proxiedStreamSender(deployment);
      return measureAddedCpuMicros(STREAM_COUNTS, sendDirect, sendProxied);
    }),
};

async function withDeployment(
  probe: (deployment: LocalDeployment) => Promise<readonly Point[]>,
): Promise<readonly Point[]> {
  const deployment = new LocalDeployment({
    daemons: 1,
    engines: 1,
    engineOptions: { stepMs: ENGINE_STEP_MS },
  });
  await deployment.start();
  try {
    return await probe(deployment);
  } finally {
    await deployment.stop();
  }
}

function directServiceSender(deployment: LocalDeployment): SendRequest {
  return async (dispatcher, index) => {
    const { body } = await request(
      `http://${deployment.serviceAddress}/history`,
      { method: 'POST', dispatcher, reset: true, body: `{"index":${index}}` },
    );
    await body.dump();
    return 1;
  };
}

function proxiedServiceSender(deployment: LocalDeployment): SendRequest {
  const address = deployment.daemons[0]?.addresses.callers ?? '';
  return async (dispatcher, index) => {
    const { body } = await request(
      `http://${address}/v1/services/ledger/history`,
      {
        method: 'POST',
        dispatcher,
        headers: { ...callerHeaders(), 'skylarkreach-kind': 'history' },
        body: `{"index":${index}}`,
      },
    );
    await body.dump();
    return 1;
  };
}

function directStreamSender(deployment: LocalDeployment): SendRequest {
  const address = deployment.engines[0]?.address ?? '';
  let stream = 0;
  return async (dispatcher, index) => {
    stream += 1;
    const { body } = await request(`http://${address}/v1/streams`, {
      method: 'POST',
      dispatcher,
      body: JSON.stringify({
        streamId: `direct-${stream}`,
        model: 'ruling-model',
        messages: createMessages(index),
        maxTokens: 1_000,
        sentText: '',
        sentTokens: 0,
        priority: 'standard',
        deadlineAtMs: Date.parse(FAR_DEADLINE),
      }),
    });
    return parseTokenCount(await body.text(), /"totalTokens":(\d+)/);
  };
}

function proxiedStreamSender(deployment: LocalDeployment): SendRequest {
  const address = deployment.daemons[0]?.addresses.callers ?? '';
  return async (dispatcher, index) => {
    const { body } = await request(`http://${address}/v1/chat/completions`, {
      method: 'POST',
      dispatcher,
      headers: callerHeaders(),
      body: JSON.stringify({ messages: createMessages(index), stream: true }),
    });
    return parseTokenCount(await body.text(), /"completion_tokens":(\d+)/);
  };
}

function callerHeaders(): Record<string, string> {
  return {
    authorization: `Bearer ${CALLER_TOKEN}`,
    'skylarkreach-deadline': FAR_DEADLINE,
  };
}

function createMessages(index: number) {
  return [{ role: 'user', content: `Which account takes entry ${index}?` }];
}

function parseTokenCount(text: string, pattern: RegExp): number {
  return Number(pattern.exec(text)?.[1] ?? 0);
}
