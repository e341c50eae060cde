import { Agent } from 'undici';

import type { Point } from '../experiment/index.js';

const WARM_UP_REQUESTS = 100;

/** Sends one request and returns the units that it carried: requests, events or tokens. */
export type SendRequest = (agent: Agent, index: number) => Promise<number>;

/** Measures the CPU time in microseconds that a proxied path adds to the direct one, by units carried. */
export async function measureAddedCpuMicros(
  counts: readonly number[],
  sendDirect: SendRequest,
  sendProxied: SendRequest,
): Promise<readonly Point[]> {
  const agent = new Agent({ connections: 1 });
  try {
    await measureCpu(agent, sendProxied, WARM_UP_REQUESTS);
    await measureCpu(agent, sendDirect, WARM_UP_REQUESTS);
    const points: Point[] = [];
    for (const count of counts) {
      const direct = await measureCpu(agent, sendDirect, count);
      const proxied = await measureCpu(agent, sendProxied, count);
      points.push({
        x: proxied.units,
        y: proxied.cpuMicros - direct.cpuMicros,
      });
    }
    return points;
  } finally {
    await agent.destroy();
  }
}

async function measureCpu(agent: Agent, send: SendRequest, count: number) {
  const before = process.cpuUsage();
  let units = 0;
  for (let index = 0; index < count; index += 1) {
    units += await send(agent, index);
  }
  const used = process.cpuUsage(before);
  return { units, cpuMicros: used.user + used.system };
}
