import { build } from 'hdr-histogram-js';
import { Agent, request } from 'undici';

import type { LocalDeploymentOptions } from '@skylarkreach/stand-ins';
import { CALLER_TOKEN, LocalDeployment } from '@skylarkreach/stand-ins';

import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
  ReportRow,
} from '../experiment/index.js';
import { lowerBoundTarget, upperBoundTarget } from '../experiment/index.js';

const DEFAULT_CALLS = 2_000;
const FULL_CALLS = 20_000;
const WARM_UP_CALLS = 300;
const CALL_TIMEOUT_MS = 30_000;
const MAX_ADDED_P50_MS = 2;
const MAX_ADDED_P99_MS = 10;
const MIN_REQUESTS_PER_SECOND = 200;

const DEPLOYMENT: Partial<LocalDeploymentOptions> = { daemons: 1, engines: 1 };

interface SeriesResult {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly cpuMsPerCall: number;
}

type SendCall = (index: number) => Promise<void>;

/** Measures the latency and CPU time that the daemon adds to a direct call. */
export const pathExperiment: Experiment = {
  name: 'path',
  description: 'latency that the daemon adds, and requests a second on a core',
  run: runPath,
};

async function runPath(options: ExperimentOptions): Promise<ExperimentReport> {
  const calls = options.full ? FULL_CALLS : DEFAULT_CALLS;
  const deployment = new LocalDeployment(DEPLOYMENT);
  const agent = new Agent({ connections: 1 });
  await deployment.start();
  try {
    const direct = createDirectCall(deployment, agent, options.seed);
    const throughDaemon = createDaemonCall(deployment, agent, options.seed);
    await measureSeries(direct, WARM_UP_CALLS);
    await measureSeries(throughDaemon, WARM_UP_CALLS);
    return buildReport(
      await measureSeries(direct, calls),
      await measureSeries(throughDaemon, calls),
      calls,
    );
  } finally {
    await agent.destroy();
    await deployment.stop();
  }
}

/** Creates a call to the plain service itself, on a new connection per call as the daemon does. */
function createDirectCall(
  deployment: LocalDeployment,
  agent: Agent,
  seed: number,
): SendCall {
  const address = deployment.serviceAddress;
  return async index => {
    const { body, statusCode } = await request(`http://${address}/history`, {
      method: 'POST',
      dispatcher: agent,
      reset: true,
      body: JSON.stringify({ seed, index }),
    });
    await body.dump();
    expectSuccess(statusCode);
  };
}

function createDaemonCall(
  deployment: LocalDeployment,
  agent: Agent,
  seed: number,
): SendCall {
  const address = deployment.daemons[0]?.addresses.callers ?? '';
  const url = `http://${address}/v1/services/ledger/history`;
  return async index => {
    const deadline = new Date(Date.now() + CALL_TIMEOUT_MS).toISOString();
    const { body, statusCode } = await request(url, {
      method: 'POST',
      dispatcher: agent,
      headers: {
        authorization: `Bearer ${CALLER_TOKEN}`,
        'skylarkreach-kind': 'history',
        'skylarkreach-deadline': deadline,
      },
      body: JSON.stringify({ seed, index }),
    });
    await body.dump();
    expectSuccess(statusCode);
  };
}

function expectSuccess(statusCode: number): void {
  if (statusCode !== 200) {
    throw new Error(`The call failed with status ${statusCode}.`);
  }
}

async function measureSeries(
  call: SendCall,
  calls: number,
): Promise<SeriesResult> {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  const cpuBefore = process.cpuUsage();
  for (let index = 0; index < calls; index += 1) {
    const startedAtMs = performance.now();
    await call(index);
    const elapsedMicros = (performance.now() - startedAtMs) * 1_000;
    histogram.recordValue(Math.round(elapsedMicros));
  }
  const cpu = process.cpuUsage(cpuBefore);
  return {
    p50Ms: histogram.getValueAtPercentile(50) / 1_000,
    p99Ms: histogram.getValueAtPercentile(99) / 1_000,
    cpuMsPerCall: (cpu.user + cpu.system) / 1_000 / calls,
  };
}

function buildReport(
  direct: SeriesResult,
  throughDaemon: SeriesResult,
  calls: number,
): ExperimentReport {
  const addedP50Ms = throughDaemon.p50Ms - direct.p50Ms;
  const addedP99Ms = throughDaemon.p99Ms - direct.p99Ms;
  const addedCpuMs = throughDaemon.cpuMsPerCall - direct.cpuMsPerCall;
  const requestsPerSecond = 1_000 / addedCpuMs;
  const row = (way: string, series: SeriesResult): ReportRow => ({
    way,
    calls,
    ...series,
  });
  return {
    rows: [
      row('direct', direct),
      row('through the daemon', throughDaemon),
      {
        way: 'added by the daemon',
        calls,
        p50Ms: addedP50Ms,
        p99Ms: addedP99Ms,
        cpuMsPerCall: addedCpuMs,
        requestsPerSecondOfOneCore: requestsPerSecond,
      },
    ],
    targets: [
      upperBoundTarget('added latency p50', addedP50Ms, MAX_ADDED_P50_MS, 'ms'),
      upperBoundTarget('added latency p99', addedP99Ms, MAX_ADDED_P99_MS, 'ms'),
      lowerBoundTarget(
        'requests a second on one core',
        requestsPerSecond,
        MIN_REQUESTS_PER_SECOND,
        '',
      ),
    ],
  };
}
