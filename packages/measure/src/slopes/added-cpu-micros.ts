import { Agent } from 'undici';

import type { Point } from '../experiment/index.js';

const WARM_UP = 100;

/** Sends one request and returns the units that it carried: requests or tokens. */
export type Send = (agent: Agent, index: number) => Promise<number>;

/** Processor time that one way adds to the direct one, in microseconds, by units carried. */
export async function addedMicros(
  counts: readonly number[],
  direct: Send,
  through: Send,
): Promise<readonly Point[]> {
  const agent = new Agent({ connections: 1 });
  try {
    await sendMany(agent, through, WARM_UP);
    await sendMany(agent, direct, WARM_UP);
    const points: Point[] = [];
    for (const count of counts) {
      const without = await sendMany(agent, direct, count);
      const added = await sendMany(agent, through, count);
      points.push({ x: added.units, y: added.cpuMicros - without.cpuMicros });
    }
    return points;
  } finally {
    await agent.destroy();
  }
}

async function sendMany(agent: Agent, send: Send, count: number) {
  const before = process.cpuUsage();
  let units = 0;
  for (let index = 0; index < count; index += 1) {
    units += await send(agent, index);
  }
  const used = process.cpuUsage(before);
  return { units, cpuMicros: used.user + used.system };
}
