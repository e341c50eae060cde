import { Agent } from 'undici';

import type { Point } from '../experiment/index.js';

const WARM_UP_REQUESTS = 100;

/** Sends one request and returns the units that it carried: requests or tokens. */
export type SendRequest = (agent: Agent, index: number) => Promise<number>;

/** Processor time that one way adds to the direct one, in microseconds, by units carried. */
export async function measureAddedCpuMicros(
  counts: readonly number[],
  direct: SendRequest,
  through: SendRequest,
): Promise<readonly Point[]> {
  const agent = new Agent({ connections: 1 });
  try {
    await measureCpu(agent, through, WARM_UP_REQUESTS);
    await measureCpu(agent, direct, WARM_UP_REQUESTS);
    const points: Point[] = [];
    for (const count of counts) {
      const without = await measureCpu(agent, direct, count);
      const added = await measureCpu(agent, through, count);
      points.push({ x: added.units, y: added.cpuMicros - without.cpuMicros });
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
